import type {Channel} from '../link/channel.js';
import type {FleetMessage, Hello, Ping, ProcessKind} from './messages.js';

const kinds: readonly ProcessKind[] = ['node', 'relay', 'control'];

/** What becomes of the messages of a link before and after its hello. */
export interface HelloReceiver {
  /** Someone asks how fresh this home is before they depend on it. */
  answer(ping: Ping): void;
  /** Returns the receiver of what comes after the hello. */
  acceptHello(hello: Hello): (message: FleetMessage) => void;
  /** Something else came. */
  reject(): void;
}

/**
 * Receives one accepted link's fleet plane: before its hello there may only be
 * pings, or the link is refused.
 */
export function receiveHello(
  channel: Channel,
  {answer, acceptHello: greet, reject: refuse}: HelloReceiver,
): void {
  let receive: ((message: FleetMessage) => void) | undefined;
  channel.onMessage(body => {
    if (receive !== undefined) {
      receive(body as FleetMessage);
      return;
    }
    if (isHello(body)) receive = greet(body);
    else if (isPing(body)) answer(body);
    else refuse();
  });
}

function isPing(body: unknown): body is Ping {
  const ping = body as Partial<Ping> | null;
  return ping?.kind === 'ping' && typeof ping.number === 'number';
}

function isHello(body: unknown): body is Hello {
  const hello = body as Partial<Hello> | null;
  return (
    typeof hello === 'object' &&
    hello !== null &&
    kinds.includes(hello.kind!) &&
    typeof hello.name === 'string' &&
    typeof hello.failureDomain === 'string' &&
    typeof hello.region === 'string'
  );
}
