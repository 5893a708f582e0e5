import {initTRPC, TRPCError} from '@trpc/server';
import {z, ZodError} from 'zod';
import {configurationCodes as codes} from '../configuration/codes.js';
import {
  commandSchema,
  kindSchema,
  nameSchema,
} from '../configuration/schemas.js';
import type {Log} from '../log/log.js';
import type {Refusal} from './messages.js';
import {createRefusal} from './refusal.js';
import type {OperatorService} from './service.js';
import {firstProblem} from '../result/first-problem.js';

/** Context of a request to the operators' API. */
export interface RequestContext {
  /** Whether the request has the deployment's operator token. */
  readonly authorized: boolean;
}

/**
 * Maximum duration of one wait call, in milliseconds; clients repeat it until
 * their own timeout.
 */
export const maxWait = 10_000;

const memberShape = z
  .object({
    name: nameSchema,
    address: z.string().min(3).max(64),
    failureDomain: nameSchema,
  })
  .strict();

const trpc = initTRPC.context<RequestContext>().create({
  errorFormatter: ({error, shape}) => ({
    code: shape.code,
    message: shape.message,
    data: {refusal: describeError(error)},
  }),
});

/** Creates the router with all procedures of the operators' API. */
export function createRouter(service: OperatorService, log: Log) {
  const procedure = trpc.procedure.use(async ({next}) => {
    const result = await next();
    if (!result.ok) logUnexpected(log, result.error);
    return result;
  });
  const mutation = procedure.use(({ctx, next}) => {
    if (ctx.authorized) return next();
    throw new TRPCError({code: 'UNAUTHORIZED'});
  });
  return trpc.router({
    change: mutation
      .input(commandSchema)
      .mutation(({input}) => service.change(input)),
    items: procedure
      .input(z.object({kind: kindSchema, name: nameSchema.optional()}).strict())
      .query(({input}) => service.items(input.kind, input.name)),
    history: procedure
      .input(z.object({count: z.number().int().positive()}).strict())
      .query(({input}) => service.history(input.count)),
    inForce: procedure.query(() => service.inForce()),
    wait: procedure
      .input(
        z
          .object({
            version: z.number().int().nonnegative(),
            within: z.number().nonnegative().max(maxWait),
          })
          .strict(),
      )
      .query(({input}) => service.wait(input.version, input.within)),
    control: procedure.query(() => service.control()),
    replace: mutation
      .input(z.object({leaving: nameSchema, joining: memberShape}).strict())
      .mutation(({input}) => service.replace(input.leaving, input.joining)),
    acceptLoss: mutation
      .input(z.object({service: nameSchema}).strict())
      .mutation(({input}) => service.acceptLoss(input.service)),
  });
}

/** Type of the API, for the client. */
export type OperatorRouter = ReturnType<typeof createRouter>;

function describeError(error: TRPCError): Refusal {
  switch (error.code) {
    case 'UNAUTHORIZED':
      return createRefusal(codes.unauthorized, 'the operator token is wrong');
    case 'PAYLOAD_TOO_LARGE':
      return createRefusal(codes.tooLarge, 'the request is too large');
    case 'INTERNAL_SERVER_ERROR':
      return createRefusal(
        codes.internal,
        'internal error; see the log of the control process',
      );
    default:
      return createRefusal(codes.invalidInput, describeInput(error));
  }
}

function describeInput(error: TRPCError): string {
  if (!(error.cause instanceof ZodError)) return error.message;
  const issue = error.cause.issues[0]!;
  if (issue.code === 'unrecognized_keys') {
    const path = issue.path.join('.') || 'the request';
    return `${path}: unknown key ${issue.keys[0]}`;
  }
  return firstProblem(error.cause, 'the request');
}

function logUnexpected(log: Log, error: TRPCError): void {
  if (error.code !== 'INTERNAL_SERVER_ERROR') return;
  log.error('a request of an operator failed', {error: error.message});
}
