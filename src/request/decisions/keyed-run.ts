/**
 * Runs calls with an idempotency key. The key is claimed before the call is
 * admitted, and the answer is stored for resends. The call continues after its
 * caller has disconnected, so that a resend gets its answer.
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

/** Maximum size in bytes of an answer body that is stored for resends. */
const maxStoredSize = 1024 * 1024;

/** Options of `createKeyedRuns`. */
export interface KeyedRunsOptions {
  readonly claims: Claims | undefined;
  /** Runs a call whose key has been claimed. */
  readonly run: (call: Call, answer: Answer) => Cancel;
  /** Registers a call as open until its key is claimed. */
  readonly track: (cut: Cancel) => void;
  /** Removes the registration. */
  readonly untrack: (cut: Cancel) => void;
}

/** Runs calls with an idempotency key. */
export interface KeyedRuns {
  handle(call: Call, answer: Answer): Cancel;
}

/** Creates the runner of calls with an idempotency key. */
export function createKeyedRuns(options: KeyedRunsOptions): KeyedRuns {
  function handleClaim(call: Call, answer: Answer, result: Acquisition): void {
    if (result.kind === 'answered') return replay(result.answer, answer);
    if (result.kind === 'refused') {
      const {code, message, retryAfter} = result;
      return answer.refuse(createRefusal(code, message, retryAfter));
    }
    options.run(call, createStoringAnswer(answer, result.claim));
  }

  return {
    handle: (call, answer) => {
      const {claims} = options;
      if (claims === undefined) {
        answer.refuse(createRefusal(requestCodes.claimsUnavailable));
        return () => {};
      }
      let isCancelled = false;
      const cancel = () => {
        isCancelled = true;
      };
      options.track(cancel);
      const request = {
        service: call.service,
        key: claimKeyOf(call),
        fingerprint: fingerprintOf(call),
        deadline: call.deadline,
      };
      void claims.acquire(request).then(result => {
        if (!isCancelled) handleClaim(call, answer, result);
        else if (result.kind === 'granted') result.claim.release();
        options.untrack(cancel);
      });
      return cancel;
    },
  };
}

/**
 * The key that is claimed. Callers of different workspaces may use the same
 * key, and must not get each other's answers. A header's value has no line
 * break, so no caller can name the key of a workspace.
 */
function claimKeyOf({workspace, key}: Call): string {
  return workspace === undefined ? key! : `${workspace}\n${key!}`;
}

function replay(stored: StoredAnswer, answer: Answer): void {
  const headers = stored.headers.flatMap(({name, value}) => [name, value]);
  answer.start({status: stored.status, reason: '', headers});
  if (stored.body.length > 0) answer.write(Buffer.from(stored.body));
  answer.end();
}

/** Forwards an answer and completes, releases or abandons the claim with it. */
function createStoringAnswer(answer: Answer, claim: Claim): Answer {
  let head: AnswerHead | undefined;
  let chunks: Buffer[] = [];
  let size = 0;

  function store(): void {
    if (head === undefined || size > maxStoredSize) return claim.abandon();
    const {status} = head;
    claim.complete({
      status,
      headers: toHeaders(head.headers),
      body: Buffer.concat(chunks),
    });
  }

  return {
    admit: () => answer.admit(),
    start: answerHead => {
      head = answerHead;
      answer.start(answerHead);
    },
    write: chunk => {
      size += chunk.length;
      if (size <= maxStoredSize) chunks.push(chunk);
      else chunks = [];
      return answer.write(chunk);
    },
    onDrain: resume => answer.onDrain(resume),
    end: () => {
      store();
      answer.end();
    },
    refuse: (reason: Refusal) => {
      // Only a `not-run` refusal releases the key. After any other refusal the
      // call may have run, and a released key would allow it to run twice.
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

function toHeaders(flat: readonly string[]): Header[] {
  const headers: Header[] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push({name: flat[index]!, value: flat[index + 1]!});
  }
  return headers;
}
