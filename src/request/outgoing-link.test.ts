import test from 'ava';
import {SocketLink} from '../link/socket-link.js';
import type {Priority} from '../configuration/configuration.js';
import {createSilentLog} from '../log/log.js';
import {createRandom} from '../random/random.js';
import {createFakeTimers} from '../time/fakes/fake-timers.js';
import type {FakeTimers} from '../time/fakes/fake-timers.js';
import {createAdmission} from './decisions/admission.js';
import {createEgressReservations} from './decisions/egress-reservations.js';
import {createRun} from './decisions/run.js';
import {createNoStories} from './decisions/stories.js';
import type {CallHandler, UpstreamLink} from './messages/hops.js';
import {allSafeguards} from './messages/safeguards.js';
import {createFramedGate} from './transport/framed-gate.js';
import type {CallFrame, EntryFrame, GateFrame} from './transport/frames.js';
import {createEgressQueue} from './transport/egress-queue.js';
import {answerRateOf} from './transport/pacing.js';

const megabits = 12.6;
const linkRate = (megabits * 1e6) / 8;
const slots = 9;
const frameBytes = 200;

/** What is asked of the gate; times in milliseconds. */
interface Kind {
  readonly policy: string;
  readonly bytes: number;
  readonly work: number;
  readonly perSecond: number;
  readonly goodFor: number;
  readonly priority: Priority;
}

const lookup: Kind = {
  policy: 'lookups',
  bytes: 500,
  work: 38,
  perSecond: 90,
  goodFor: 150,
  priority: 'normal',
};
const archive: Kind = {
  policy: 'archives',
  bytes: 90_000,
  work: 120,
  perSecond: 25,
  goodFor: 600,
  priority: 'normal',
};

/** A link whose frames leave one after the other at its rate. */
function createSlowLink(
  timers: FakeTimers,
  deliver: (frame: GateFrame) => void,
) {
  let receive: (message: unknown) => void = () => {};
  let busyUntil = 0;
  let pending = 0;

  const link = new (class extends SocketLink {
    readonly peer = 'entry';
    readonly bytesIn = 0;
    readonly bytesOut = 0;
    get pending() {
      return pending;
    }
    send(message: unknown): void {
      const frame = message as GateFrame;
      const body = frame.type === 'data' ? frame.chunk.length : 0;
      const bytes = frameBytes + body;
      pending += bytes;
      busyUntil = Math.max(busyUntil, timers.now()) + (bytes / linkRate) * 1000;
      timers.after(busyUntil - timers.now(), () => {
        pending -= bytes;
        deliver(frame);
      });
    }
    onMessage(receiver: (message: unknown) => void): void {
      receive = receiver;
    }
    onClose(): void {}
    close(): void {}
    destroy(): void {}
  })();
  return {link, hear: (frame: EntryFrame) => receive(frame)};
}

/** An instance that works for as long as a kind takes and answers in parts. */
function createWorker(
  timers: FakeTimers,
  kindOf: (policy: string) => Kind,
): UpstreamLink {
  return {
    send: (call, _left, receiver) => {
      const {work, bytes} = kindOf(call.policy!);
      let left = bytes;
      let isOver = false;
      function pour(): void {
        while (left > 0 && !isOver) {
          const part = Math.min(left, 16 * 1024);
          left -= part;
          if (!receiver.data(Buffer.alloc(part))) return;
        }
        if (!isOver) receiver.end();
        isOver = true;
      }
      function stop(reason: Error): void {
        if (isOver) return;
        isOver = true;
        receiver.failed(reason, true);
      }
      receiver.began();
      timers.after(work, () => {
        if (isOver) return;
        const headers = ['content-length', String(bytes)];
        receiver.head({status: 200, reason: '', headers});
        pour();
      });
      return {resume: pour, close: stop, cancel: stop};
    },
  };
}

function createStage(timers: FakeTimers) {
  const rate = answerRateOf(megabits);
  const egressQueue = createEgressQueue({rate, timers});
  const reservations = createEgressReservations({
    rate,
    waiting: () => egressQueue.waiting,
    clock: timers,
  });
  const admission = createAdmission({slots, queueLength: 36, clock: timers});
  const upstream = createWorker(timers, kindNamed);
  const gate: CallHandler = {
    instance: 'a',
    service: 's',
    get load() {
      return admission.load;
    },
    loadOf: policy =>
      reservations.isLarge(policy)
        ? Math.max(admission.load, reservations.load)
        : admission.load,
    handle: (call, answer) => {
      const run = createRun({
        call,
        answer,
        admission,
        reservations,
        objective: kindNamed(call.policy!).goodFor,
        upstream,
        instance: 'a',
        story: createNoStories().begin(call.id),
        timers,
        closedReason: () => undefined,
        safeguards: allSafeguards,
        ended: () => {},
        onAnswered: () => {},
        onLost: () => {},
      });
      run.offer();
      return run.cancel;
    },
  };
  return {gate, egressQueue};
}

function kindNamed(policy: string): Kind {
  return policy === archive.policy ? archive : lookup;
}

/** What became of the calls of one kind. */
interface Tally {
  asked: number;
  answered: number;
  inTime: number;
  /** Answers that came within 25 ms of their work's end. */
  prompt: number;
  refused: number;
  /** Longest time until a refusal, in milliseconds. */
  slowestRefusal: number;
  /** Loads told with refusals. */
  readonly refusedAt: number[];
  readonly loads: number[];
}

function createTally(): Tally {
  return {
    asked: 0,
    answered: 0,
    inTime: 0,
    prompt: 0,
    refused: 0,
    slowestRefusal: 0,
    refusedAt: [],
    loads: [],
  };
}

/** What entries say of the calls of a play. */
interface Terms {
  /** Whether they know until when answers are good. */
  readonly knowsGoodFor: boolean;
  readonly lookup: Kind;
  /** Share of the link that requests and control take; 0 unless given. */
  readonly otherShare?: number;
}

/** Plays so many milliseconds of lookups and archives at a gate with a full link. */
async function play(
  duration: number,
  {knowsGoodFor, lookup, otherShare = 0}: Terms,
) {
  const timers = createFakeTimers();
  const random = createRandom(3);
  const asked = new Map<number, {kind: Kind; at: number}>();
  const tallies = new Map([lookup, archive].map(kind => [kind, createTally()]));
  let last = 0;
  const {link, hear} = createSlowLink(timers, deliver);
  const gate = createFramedGate({
    ...createStage(timers),
    timers,
    log: createSilentLog(),
    safeguards: allSafeguards,
  });
  gate.accept(link);

  function deliver(frame: GateFrame): void {
    if (!('call' in frame)) return;
    const one = asked.get(frame.call);
    if (one === undefined) return;
    const tally = tallies.get(one.kind)!;
    const took = timers.now() - one.at;
    if (frame.type === 'head') tally.loads.push(frame.load);
    if (frame.type === 'data') {
      hear({type: 'taken', call: frame.call, bytes: frame.chunk.length});
    }
    if (frame.type === 'end') {
      tally.answered++;
      if (took <= one.kind.goodFor) tally.inTime++;
      if (took <= one.kind.work + 25) tally.prompt++;
    }
    if (frame.type === 'refused') {
      tally.refused++;
      tally.refusedAt.push(frame.load);
      tally.slowestRefusal = Math.max(tally.slowestRefusal, took);
    }
  }

  function ask(kind: Kind): void {
    const call = ++last;
    asked.set(call, {kind, at: timers.now()});
    tallies.get(kind)!.asked++;
    const frame: CallFrame = {
      type: 'call',
      call,
      request: String(call),
      instance: 'a',
      service: 's',
      policy: kind.policy,
      caller: undefined,
      method: 'GET',
      path: '/',
      headers: [],
      body: undefined,
      priority: kind.priority,
      repeatability: 'idempotent',
      key: undefined,
      left: kind.goodFor * 2.5,
      goodFor: kind.goodFor * (knowsGoodFor ? 1 : 2.5),
    };
    hear(frame);
  }

  const tick = 2;
  timers.every(tick, () => {
    for (const kind of [lookup, archive]) {
      if (random.fraction() < (kind.perSecond * tick) / 1000) ask(kind);
    }
  });
  const otherBytes = 1500;
  const otherPeriod = (otherBytes / linkRate / otherShare) * 1000;
  if (otherShare > 0) {
    timers.every(otherPeriod, () =>
      link.send({type: 'data', call: 0, chunk: Buffer.alloc(otherBytes)}),
    );
  }
  await timers.advanceAsync(duration);
  return {lookups: tallies.get(lookup)!, archives: tallies.get(archive)!};
}

// Archives for more than the link carries: small answers wait behind them on
// their way out, and archives hold their slots until they have left.
test('lookups are in time beside archives that fill the link out', async t => {
  const {lookups, archives} = await play(8000, {knowsGoodFor: true, lookup});
  const told = JSON.stringify({lookups, archives}, (key, value) =>
    Array.isArray(value) ? Math.max(...(value as number[])) : (value as number),
  );
  t.true(lookups.inTime / lookups.asked > 0.95, told);
  t.true(archives.inTime / archives.answered > 0.9, told);
  const carried = (archives.inTime * archive.bytes) / 8 / linkRate;
  t.true(carried > 0.75, `${carried} of the link: ${told}`);
  // A small queueing before the refusal leaves is the burst of others.
  t.true(archives.refused > 0 && archives.slowestRefusal < 60, told);
  t.true(Math.min(...archives.refusedAt) > 0.9, told);
  t.true(Math.max(...lookups.loads) < 1.5, told);
});

// Entries know only the deadline of rare requests, and urgent lookups go first:
// archives wait for slots, keep room on the link meanwhile, and leave late.
test('archives behind urgent lookups are in time or refused', async t => {
  const urgent: Kind = {...lookup, perSecond: 120, priority: 'critical'};
  const {lookups, archives} = await play(8000, {
    knowsGoodFor: false,
    lookup: urgent,
  });
  const told = JSON.stringify({lookups, archives}, (key, value) =>
    Array.isArray(value) ? Math.max(...(value as number[])) : (value as number),
  );
  t.true(lookups.inTime / lookups.asked > 0.95, told);
  t.true(archives.inTime / archives.answered > 0.9, told);
  const carried = (archives.inTime * archive.bytes) / 8 / linkRate;
  t.true(carried > 0.7, `${carried} of the link: ${told}`);
});

// A caller's run makes two lookups one after the other. Beside archives at nine
// tenths of the link and all that nobody counts, each is held up on its way out.
test('lookups are prompt on a link that carries other things too', async t => {
  const {lookups} = await play(8000, {
    knowsGoodFor: true,
    lookup,
    otherShare: 0.08,
  });
  const prompt = lookups.prompt / lookups.answered;
  t.true(prompt > 0.9, `${prompt} of ${lookups.answered}`);
});
