import type {Channel} from '../link/channel.js';
import type {FleetMessage, Hello, ProcessKind} from './messages.js';

const kinds: readonly ProcessKind[] = ['node', 'relay', 'control'];

/**
 * Receives one accepted link's fleet plane: its first message must be a hello,
 * or the link is refused.
 */
export function receiveHello(
  channel: Channel,
  greet: (hello: Hello) => (message: FleetMessage) => void,
  refuse: () => void,
): void {
  let receive: ((message: FleetMessage) => void) | undefined;
  channel.onMessage(body => {
    if (receive !== undefined) {
      receive(body as FleetMessage);
      return;
    }
    if (isHello(body)) receive = greet(body);
    else refuse();
  });
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
