/**
 * Work with an idempotency key. The key is claimed before the work is offered
 * to the upstream, and the answer is kept for resends. The work then goes on
 * when its caller leaves: a resend is to find its answer.
 */
import type {
  Acquisition,
  Claim,
  Claims,
  Header,
  StoredAnswer,
} from '../../claims/claims.js';
import type {Answer} from '../messages/answer.js';
import {requestCodes} from '../messages/codes.js';
import {fingerprintOf} from './fingerprint.js';
import type {AnswerHead, Call, Cancel, Refusal} from '../messages/call.js';
import {createRefusal} from '../messages/refusal.js';

/** Largest answer body, in bytes, that is gathered for resends. */
const keptLimit = 1024 * 1024;

/** Options of `createKeyedRuns`. */
export interface KeyedRunsOptions {
  readonly claims: Claims | undefined;
  /** Runs work whose key is claimed. */
  readonly run: (call: Call, answer: Answer) => Cancel;
  /** Work between its arrival and its claim counts as under way. */
  readonly track: (cut: Cancel) => void;
  readonly untrack: (cut: Cancel) => void;
}

/** Runs keyed work. */
export interface KeyedRuns {
  handle(call: Call, answer: Answer): Cancel;
}

/** Creates the runner of keyed work. */
export function createKeyedRuns(options: KeyedRunsOptions): KeyedRuns {
  function settle(call: Call, answer: Answer, acquired: Acquisition): void {
    if (acquired.kind === 'answered') return replay(acquired.answer, answer);
    if (acquired.kind === 'refused') {
      const {code, message, retryAfter} = acquired;
      return answer.refuse(createRefusal(code, message, retryAfter));
    }
    options.run(call, createKeptAnswer(answer, acquired.claim));
  }

  return {
    handle: (call, answer) => {
      const {claims} = options;
      if (claims === undefined) {
        answer.refuse(createRefusal(requestCodes.claimsUnavailable));
        return () => {};
      }
      let left = false;
      const cancel = () => {
        left = true;
      };
      options.track(cancel);
      const request = {
        service: call.service,
        key: call.key!,
        fingerprint: fingerprintOf(call),
        deadline: call.deadline,
      };
      void claims.acquire(request).then(acquired => {
        if (!left) settle(call, answer, acquired);
        else if (acquired.kind === 'granted') acquired.claim.release();
        options.untrack(cancel);
      });
      return cancel;
    },
  };
}

function replay(stored: StoredAnswer, answer: Answer): void {
  const headers = stored.headers.flatMap(({name, value}) => [name, value]);
  answer.start({status: stored.status, reason: '', headers});
  if (stored.body.length > 0) answer.write(Buffer.from(stored.body));
  answer.end();
}

/** Passes an answer on and gives it, or what is known, to the claim. */
function createKeptAnswer(answer: Answer, claim: Claim): Answer {
  let head: AnswerHead | undefined;
  let parts: Buffer[] = [];
  let size = 0;

  function keep(): void {
    if (head === undefined || size > keptLimit) return claim.abandon();
    const {status} = head;
    claim.complete({
      status,
      headers: pairs(head.headers),
      body: Buffer.concat(parts),
    });
  }

  return {
    admit: () => answer.admit(),
    start: started => {
      head = started;
      answer.start(started);
    },
    write: chunk => {
      size += chunk.length;
      if (size <= keptLimit) parts.push(chunk);
      else parts = [];
      return answer.write(chunk);
    },
    onDrain: resume => answer.onDrain(resume),
    end: () => {
      keep();
      answer.end();
    },
    refuse: (reason: Refusal) => {
      // Only a refusal that says `not-run` frees the key: after any other the
      // work may have begun, and a free key would let it run twice.
      if (reason.code.effect === 'not-run') claim.release();
      else claim.abandon();
      answer.refuse(reason);
    },
    cut: () => {
      claim.abandon();
      answer.cut();
    },
  };
}

function pairs(flat: readonly string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push({name: flat[index]!, value: flat[index + 1]!});
  }
  return headers;
}
