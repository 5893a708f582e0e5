import {createHash} from 'node:crypto';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import type {Random} from '../../src/random/random.js';
import type {Timers} from '../../src/time/timers.js';
import {digestHeader, tagHeader} from '../upstreams/service.js';
import {createCall, pickKind} from './mix.js';
import type {Call, CallKind, MixEntry} from './mix.js';

/** A bounded load: arrivals come by chance whether or not answers do. */
export interface LoadOptions {
  /** Addresses that take the calls, in turn by chance. */
  readonly targets: readonly string[];
  /** Calls a second. */
  readonly rate: number;
  /** Calls in all. */
  readonly count: number;
  /** Milliseconds after which no more calls are made. */
  readonly duration: number;
  readonly mix: readonly MixEntry[];
  /** Size of an upload's body. */
  readonly uploadBytes: number;
  /** Milliseconds a caller waits; it leaves after them. */
  readonly timeout: number;
  /** Calls open at once; arrivals beyond are counted as unsent. */
  readonly openLimit: number;
  /** First part of each call's tag. */
  readonly name: string;
  readonly random: Random;
  readonly timers: Timers;
}

/**
 * How a call ended.
 * - `whole`: status 200, its own tag, and the digest fits the body.
 * - `refused`: a numbered refusal.
 * - `cut`: the answer began and was visibly not whole.
 * - `failed`: no answer.
 * - `wrong`: taken for whole by HTTP, but another's or damaged. Never right.
 */
export type Ending = 'whole' | 'refused' | 'cut' | 'failed' | 'wrong';

/** What became of one call. */
export interface Outcome {
  readonly call: Call;
  readonly tag: string;
  readonly ending: Ending;
  readonly status: number;
  /** The refusal's number; 0 for none. */
  readonly code: number;
  readonly effect: string | undefined;
  /** Milliseconds from the intended arrival. */
  readonly latency: number;
  readonly message?: string;
}

/** The sums of a load. */
export interface Summary {
  readonly sent: number;
  readonly unsent: number;
  readonly endings: Record<Ending, number>;
  /** Refusals by number and effect. */
  readonly refusals: Record<string, number>;
  /** Milliseconds of whole answers, by kind of call and over all. */
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

/** Runs a load to its end; `observe` sees each outcome. */
export async function runLoad(
  options: LoadOptions,
  observe: (outcome: Outcome) => void = () => {},
): Promise<Summary> {
  const {timers, random} = options;
  const agent = new Agent({connections: 128, pipelining: 1});
  const tally = createTally();
  const open = new Set<Promise<void>>();
  const start = timers.now();
  let next = start;
  let made = 0;
  let unsent = 0;

  async function perform(tag: string, due: number): Promise<void> {
    const kind = pickKind(options.mix, random);
    const call = createCall(kind, tag, options.uploadBytes, random);
    const target = random.pick(options.targets);
    const sent = await sendCall(agent, target, call, tag, options.timeout);
    const outcome = {...sent, latency: timers.now() - due};
    tally.add(outcome);
    observe(outcome);
  }

  function arrive(due: number): void {
    const tag = `${options.name}-${made++}`;
    if (open.size >= options.openLimit) {
      unsent++;
      return;
    }
    const running = perform(tag, due).finally(() => open.delete(running));
    open.add(running);
  }

  const more = () => made < options.count && next - start <= options.duration;
  while (more()) {
    const wait = next - timers.now();
    if (wait > 0) await new Promise<void>(done => timers.after(wait, done));
    for (; more() && next <= timers.now(); next += gap()) arrive(next);
  }
  await Promise.all(open);
  await agent.close();
  return tally.sum(made - unsent, unsent);

  /** Milliseconds to the next arrival of a Poisson process. */
  function gap(): number {
    return (-Math.log(1 - random.fraction()) * 1000) / options.rate;
  }
}

/** Sends one call and checks that its answer is whole and its own. */
export async function sendCall(
  agent: Agent,
  target: string,
  call: Call,
  tag: string,
  timeout: number,
): Promise<Omit<Outcome, 'latency'>> {
  let status = 0;
  const end = (
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
      return end('refused', bytes.toString(), code, effect);
    }
    const isOwn = answer.headers[tagHeader] === tag;
    const digest = createHash('sha256').update(bytes).digest('hex');
    const isWhole = answer.headers[digestHeader] === digest;
    if (isOwn && isWhole) return end('whole');
    return end('wrong', `own: ${isOwn}, whole: ${isWhole}`);
  } catch (error) {
    return end(status === 0 ? 'failed' : 'cut', (error as Error).message);
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

/** Percentiles of a histogram of microseconds, in milliseconds. */
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
