/**
 * Message links between the system's own processes. A link is ordered and
 * either delivers or closes; after a close nothing is known of what was sent
 * last, so protocols above it never take a send for a delivery.
 */

/** An IP address and port, such as `127.0.0.1:7000`. */
export type Address = string;

/** One end of an open link. */
export abstract class Link {
  /** The address of the other end, for logs. */
  abstract readonly peer: Address;
  /** Bytes handed to the wire and not yet taken by it. */
  abstract readonly pending: number;
  /** Bytes received since the link was opened, with framing. */
  abstract readonly bytesIn: number;
  /** Bytes sent since the link was opened, with framing. */
  abstract readonly bytesOut: number;

  /** Sends one message; dropped without a word once the link is closed. */
  abstract send(message: unknown): void;
  /** Registers the one receiver of messages. */
  abstract onMessage(receive: (message: unknown) => void): void;
  /** Registers the one observer of the link's end; called once. */
  abstract onClose(closed: () => void): void;
  /** Closes the link after what was sent so far. */
  abstract close(): void;
}

/** A listener that can be closed; open links stay as they are. */
export interface Listener {
  readonly address: Address;
  close(): Promise<void>;
}

/** Opens and accepts links. */
export abstract class Network {
  /** Accepts links on `address`; rejects when the port is taken. */
  abstract listen(
    address: Address,
    accept: (link: Link) => void,
  ): Promise<Listener>;

  /** Opens a link; rejects when the other end does not accept in time. */
  abstract connect(address: Address): Promise<Link>;
}
