/** The gate's listener: takes calls from the entries of other nodes. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Priority, Repeatability} from '../configuration/configuration.js';
import type {Address} from '../link/link.js';
import type {Timers} from '../time/timers.js';
import {requestCodes} from './codes.js';
import type {Gate} from './gate.js';
import {endToEnd, headerNames} from './headers.js';
import {createHttpAnswer} from './http-answer.js';
import {createListener} from './listener.js';
import type {Listener} from './listener.js';
import type {Call} from './messages.js';
import {refusal, refusalOf} from './refusal.js';
import {resolveSafeguards} from './safeguards.js';
import type {Safeguards} from './safeguards.js';
import {receiveUpload} from './upload.js';
import type {Upload} from './upload.js';

/** Options of `createGateServer`; times in milliseconds, sizes in bytes. */
export interface GateServerOptions {
  readonly address: Address;
  readonly gate: Gate;
  readonly headerLimit: number;
  readonly bodyLimit: number;
  /** Longest pause in a body. */
  readonly bodyIdle: number;
  /** How long a stop serves what keep-alive callers still send. */
  readonly grace?: number;
  readonly timers: Timers;
  /** Test only. */
  readonly safeguards?: Partial<Safeguards>;
}

/** Internal headers make the head larger than the caller's; room for them. */
const internalHeaderRoom = 2 * 1024;

/** Creates the listener of a gate. */
export function createGateServer(options: GateServerOptions): Listener {
  const {gate, timers} = options;
  const safeguards = resolveSafeguards(options.safeguards);
  const listener = createListener({
    address: options.address,
    headerLimit: options.headerLimit + internalHeaderRoom,
    grace: options.grace,
    timers,
    handle,
  });

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let upload: Upload | undefined;
    const answer = createHttpAnswer(response, {
      extra: () => [headerNames.load, gate.load.toFixed(3)],
      closing: () => listener.stopping,
      visibleCuts: safeguards.visibleCuts,
      onAdmit: () => {
        if (upload?.kind !== 'stream') return;
        upload.release();
        response.writeProcessing();
      },
    });
    if (safeguards.instanceCheck && !isForGate(request)) {
      return answer.refuse(refusal(requestCodes.wrongInstance));
    }
    try {
      upload = await receiveUpload(request, {
        limit: bodyLimitOf(request),
        idle: options.bodyIdle,
        timers,
        safeguards,
      });
    } catch (error) {
      return answer.refuse(refusalOf(error));
    }
    if (response.destroyed) return;
    const cancel = gate.handle(readCall(request, upload, timers), answer);
    response.once('close', () => {
      if (!response.writableFinished) cancel();
    });
  }

  /**
   * Addresses are used again: after a move, one may reach the gate of another
   * upstream, which would run the work of a service that it does not have.
   */
  function isForGate(request: IncomingMessage): boolean {
    const {headers} = request;
    return (
      headers[headerNames.instance] === gate.instance &&
      headers[headerNames.service] === gate.service
    );
  }

  function bodyLimitOf(request: IncomingMessage): number {
    const told = Number(request.headers[headerNames.bodyLimit]);
    return Math.min(told || options.bodyLimit, options.bodyLimit);
  }

  return listener;
}

function readCall(
  request: IncomingMessage,
  upload: Upload,
  timers: Timers,
): Call {
  const {headers} = request;
  const left = Number(headers[headerNames.timeout] ?? 0);
  return {
    id: String(headers[headerNames.request]),
    service: String(headers[headerNames.service]),
    method: request.method!,
    path: request.url!,
    headers: endToEnd(request.rawHeaders),
    body: upload,
    priority: headers[headerNames.priority] as Priority,
    repeatability: headers[headerNames.repeatability] as Repeatability,
    key: headers[headerNames.key] as string | undefined,
    deadline: timers.now() + left,
  };
}
