import type {Configuration} from '../configuration/configuration.js';
import type {Metrics} from '../metrics/metrics.js';
import type {Outcome} from '../request/messages.js';
import type {Code} from '../result/code.js';
import {commonCodes} from '../result/codes.js';
import {adminCodes} from './codes.js';

/** Label of requests that matched no route. */
const noRoute = 'none';

/** Reports what became of one request, against its policy's objective. */
export function reportOutcome(
  metrics: Metrics,
  configuration: Configuration | undefined,
  outcome: Outcome,
): void {
  const policy = configuration?.policies.get(outcome.policy);
  metrics.answered({
    route: outcome.route || noRoute,
    service: outcome.service || noRoute,
    policy: outcome.policy || noRoute,
    code: outcome.code ?? codeOf(outcome),
    status: outcome.status,
    whole: outcome.whole,
    duration: outcome.duration,
    objective: policy?.objective.latency ?? Infinity,
  });
  if (outcome.attempts > 1) {
    metrics.retried(outcome.service, outcome.attempts - 1);
  }
}

/** The code of an upstream's own answer; a reader of the report acts by it. */
function codeOf({status, whole}: Outcome): Code {
  if (status >= 500) return adminCodes.upstreamError;
  return whole ? commonCodes.ok : adminCodes.answerCut;
}
