import type {Link} from './link.js';

/** The planes, that is protocols, that share one link between a node and its home. */
export type Plane =
  | 'configuration'
  | 'endpoints'
  | 'fleet'
  | 'quarantine'
  | 'rollouts'
  | 'quotas'
  | 'departures';

interface Envelope {
  readonly plane: Plane;
  readonly body: unknown;
}

/** The part of a link that belongs to one plane. */
export interface Channel {
  send(body: unknown): void;
  /** Registers the only receiver of this plane's messages. */
  onMessage(receive: (body: unknown) => void): void;
}

/** A link shared by several planes. */
export interface Channels {
  readonly link: Link;
  on(plane: Plane): Channel;
  /** Registers an additional observer of the link's end. */
  onClose(observe: () => void): void;
}

/** Multiplexes planes on a link; buffers messages until their plane has a receiver. */
export function createChannels(link: Link): Channels {
  const receivers = new Map<Plane, (body: unknown) => void>();
  const buffers = new Map<Plane, unknown[]>();
  const observers: Array<() => void> = [];
  let isClosed = false;

  function buffer(envelope: Envelope): void {
    const buffered = buffers.get(envelope.plane) ?? [];
    buffered.push(envelope.body);
    buffers.set(envelope.plane, buffered);
  }

  link.onMessage(message => {
    const envelope = message as Envelope;
    const receive = receivers.get(envelope.plane);
    if (receive === undefined) buffer(envelope);
    else receive(envelope.body);
  });
  link.onClose(() => {
    isClosed = true;
    for (const observe of observers) observe();
  });

  return {
    link,
    on: plane => ({
      send: body => link.send({plane, body}),
      onMessage(receive) {
        receivers.set(plane, receive);
        const buffered = buffers.get(plane) ?? [];
        buffers.delete(plane);
        for (const body of buffered) receive(body);
      },
    }),
    onClose(observe) {
      observers.push(observe);
      if (isClosed) observe();
    },
  };
}
