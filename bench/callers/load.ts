import {createHash} from 'node:crypto';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {Random} from '../../src/random/random.js';
import type {Timers} from '../../src/time/timers.js';
import {digestHeader, tagHeader} from '../upstreams/service.js';
import {createCall, pickKind} from './mix.js';
import type {Call, CallKind, MixEntry} from './mix.js';

/**
 * A bounded open-loop load: calls arrive at random times, independent of the
 * answers to earlier calls.
 */
export interface LoadOptions {
  /** Addresses that receive the calls; each call picks one at random. */
  readonly targets: readonly string[];
  /** Calls per second. */
  readonly rate: number;
  /** Largest number of calls. */
  readonly count: number;
  /** Milliseconds after which no more calls start. */
  readonly duration: number;
  readonly mix: readonly MixEntry[];
  /** Body size of an upload. */
  readonly uploadBytes: number;
  /** Milliseconds after which a caller disconnects. */
  readonly timeout: number;
  /**
   * Largest number of calls at a time; further arrivals are counted as unsent.
   */
  readonly openLimit: number;
  /** Prefix of each call's tag. */
  readonly name: string;
  readonly random: Random;
  readonly timers: Timers;
}

/**
 * How a call ended.
 * - `whole`: status 200, the call's tag, and the digest matches the body.
 * - `refused`: an answer with another status, such as a numbered refusal.
 * - `cut`: the answer started and was detected to be incomplete.
 * - `failed`: no answer.
 * - `wrong`: complete according to HTTP, but damaged or the answer to another
 *   call. This must never happen.
 */
export type Ending = 'whole' | 'refused' | 'cut' | 'failed' | 'wrong';

/** The result of one call. */
export interface Outcome {
  readonly call: Call;
  readonly tag: string;
  readonly ending: Ending;
  readonly status: number;
  /** Code number of a refusal; 0 if there is none. */
  readonly code: number;
  readonly effect: string | undefined;
  /** Milliseconds since the scheduled arrival. */
  readonly latency: number;
  readonly message?: string;
}

/** The totals of a load. */
export interface Summary {
  readonly sent: number;
  readonly unsent: number;
  readonly endings: Record<Ending, number>;
  /** Number of refusals by status, code and effect. */
  readonly refusals: Record<string, number>;
  /** Latency of whole answers, by kind of call and for `all`. */
  readonly latency: Record<string, Percentiles>;
}

/** A distribution of latencies, in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

const microseconds = 1000;

/** Runs a load until all calls have ended; `observe` receives each outcome. */
export async function runLoad(
  options: LoadOptions,
  observe: (outcome: Outcome) => void = () => {},
): Promise<Summary> {
  const {timers, random} = options;
  const agent = new Agent({connections: 128, pipelining: 1});
  const tally = createTally();
  const openCalls = new Set<Promise<void>>();
  const start = timers.now();
  let next = start;
  let started = 0;
  let unsent = 0;

  async function perform(tag: string, scheduledAt: number): Promise<void> {
    const kind = pickKind(options.mix, random);
    const call = createCall(kind, tag, options.uploadBytes, random);
    const target = random.pick(options.targets);
    const sent = await sendCall(agent, target, call, tag, options.timeout);
    const outcome = {...sent, latency: timers.now() - scheduledAt};
    tally.add(outcome);
    observe(outcome);
  }

  function arrive(scheduledAt: number): void {
    const tag = `${options.name}-${started++}`;
    if (openCalls.size >= options.openLimit) {
      unsent++;
      return;
    }
    const running = perform(tag, scheduledAt).finally(() =>
      openCalls.delete(running),
    );
    openCalls.add(running);
  }

  const isRunning = () =>
    started < options.count && next - start <= options.duration;
  while (isRunning()) {
    const wait = next - timers.now();
    if (wait > 0) await new Promise<void>(done => timers.after(wait, done));
    for (; isRunning() && next <= timers.now(); next += gap()) arrive(next);
  }
  await Promise.all(openCalls);
  await agent.close();
  return tally.sum(started - unsent, unsent);

  /** Milliseconds until the next arrival of a Poisson process. */
  function gap(): number {
    return (-Math.log(1 - random.fraction()) * 1000) / options.rate;
  }
}

/** Sends a call and checks that the answer is complete and belongs to it. */
export async function sendCall(
  agent: Agent,
  target: string,
  call: Call,
  tag: string,
  timeout: number,
): Promise<Omit<Outcome, 'latency'>> {
  let status = 0;
  const endWith = (
    ending: Ending,
    message?: string,
    code = 0,
    effect?: string,
  ) => ({
    call,
    tag,
    ending,
    status,
    code,
    effect,
    message,
  });
  try {
    const answer = await request(`http://${target}${call.path}`, {
      dispatcher: agent,
      method: call.method,
      headers: {
        [tagHeader]: tag,
        ...(call.key !== undefined && {'idempotency-key': call.key}),
      },
      body: call.body,
      signal: AbortSignal.timeout(timeout),
    });
    status = answer.statusCode;
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    const code = Number(answer.headers['foxbarrow-code'] ?? 0);
    if (status !== 200) {
      const effect = answer.headers['foxbarrow-effect'] as string | undefined;
      return endWith('refused', bytes.toString(), code, effect);
    }
    const hasOwnTag = answer.headers[tagHeader] === tag;
    const digest = createHash('sha256').update(bytes).digest('hex');
    const isWhole = answer.headers[digestHeader] === digest;
    if (hasOwnTag && isWhole) return endWith('whole');
    return endWith('wrong', `own tag: ${hasOwnTag}, whole: ${isWhole}`);
  } catch (error) {
    return endWith(status === 0 ? 'failed' : 'cut', (error as Error).message);
  }
}

function createTally() {
  const endings = {whole: 0, refused: 0, cut: 0, failed: 0, wrong: 0};
  const refusals: Record<string, number> = {};
  const histograms = new Map<CallKind | 'all', Histogram>();

  function record(name: CallKind | 'all', latency: number): void {
    let histogram = histograms.get(name);
    if (histogram === undefined) {
      histogram = build({numberOfSignificantValueDigits: 3});
      histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(1, Math.round(latency * microseconds)));
  }

  return {
    add(outcome: Outcome): void {
      endings[outcome.ending]++;
      if (outcome.ending === 'refused') {
        const name = `${outcome.status} ${outcome.code} ${outcome.effect ?? ''}`;
        refusals[name] = (refusals[name] ?? 0) + 1;
      }
      if (outcome.ending !== 'whole') return;
      record('all', outcome.latency);
      record(outcome.call.kind, outcome.latency);
    },
    sum(sent: number, unsent: number): Summary {
      const latency: Record<string, Percentiles> = {};
      for (const [name, histogram] of histograms) {
        latency[name] = percentilesOf(histogram);
      }
      return {sent, unsent, endings, refusals, latency};
    },
  };
}

/** Converts a histogram in microseconds to percentiles in milliseconds. */
export function percentilesOf(histogram: Histogram): Percentiles {
  const at = (percent: number) =>
    histogram.getValueAtPercentile(percent) / microseconds;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    max: histogram.maxValue / microseconds,
  };
}
