import type {Channel} from '../link/channel.js';
import type {FleetMessage, Hello, Ping, ProcessKind} from './messages.js';

const kinds: readonly ProcessKind[] = ['node', 'relay', 'control'];

/** Handlers of the messages of a link before and after its hello. */
export interface HelloReceiver {
  /**
   * Answers a probe: a process asks how fresh this home is before it attaches.
   */
  answer(ping: Ping): void;
  /** Accepts a hello; returns the receiver of all later messages. */
  acceptHello(hello: Hello): (message: FleetMessage) => void;
  /** Rejects a link whose first message is neither a hello nor a ping. */
  reject(): void;
}

/**
 * Receives the fleet plane of an accepted link. Only pings may precede the
 * hello; after any other message the link is rejected.
 */
export function receiveHello(
  channel: Channel,
  {answer, acceptHello, reject}: HelloReceiver,
): void {
  let receive: ((message: FleetMessage) => void) | undefined;
  channel.onMessage(body => {
    if (receive !== undefined) {
      receive(body as FleetMessage);
      return;
    }
    if (isHello(body)) receive = acceptHello(body);
    else if (isPing(body)) answer(body);
    else reject();
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
