import type {Link} from './link.js';

/** The planes that share one link between a node and its home. */
export type Plane = 'configuration' | 'endpoints' | 'fleet' | 'quarantine';

interface Envelope {
  readonly plane: Plane;
  readonly body: unknown;
}

/** One plane's part of a link. */
export interface Channel {
  send(body: unknown): void;
  /** Registers the one receiver of this plane's messages. */
  onMessage(receive: (body: unknown) => void): void;
}

/** A link shared by several planes. */
export interface Channels {
  readonly link: Link;
  on(plane: Plane): Channel;
  /** Registers one more observer of the link's end. */
  onClose(observe: () => void): void;
}

/** Shares a link between planes; messages wait until their plane has a receiver. */
export function createChannels(link: Link): Channels {
  const receivers = new Map<Plane, (body: unknown) => void>();
  const waiting = new Map<Plane, unknown[]>();
  const observers: Array<() => void> = [];
  let closed = false;

  function hold(envelope: Envelope): void {
    const held = waiting.get(envelope.plane) ?? [];
    held.push(envelope.body);
    waiting.set(envelope.plane, held);
  }

  link.onMessage(message => {
    const envelope = message as Envelope;
    const receive = receivers.get(envelope.plane);
    if (receive === undefined) hold(envelope);
    else receive(envelope.body);
  });
  link.onClose(() => {
    closed = true;
    for (const observe of observers) observe();
  });

  return {
    link,
    on: plane => ({
      send: body => link.send({plane, body}),
      onMessage(receive) {
        receivers.set(plane, receive);
        const held = waiting.get(plane) ?? [];
        waiting.delete(plane);
        for (const body of held) receive(body);
      },
    }),
    onClose(observe) {
      observers.push(observe);
      if (closed) observe();
    },
  };
}
