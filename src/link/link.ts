/**
 * Message links between the processes of the system. A link delivers messages in
 * order until it closes. After it has closed, it is unknown whether the last
 * messages arrived, so protocols must not treat a send as a delivery.
 */

/** An IP address and a port, such as `127.0.0.1:7000`. */
export type Address = string;

/** One end of an open link. */
export abstract class Link {
  /** The address of the other end, for logs. */
  abstract readonly peer: Address;
  /** Bytes that are buffered and not yet written to the network. */
  abstract readonly pending: number;
  /** Bytes received since the link was opened, including framing. */
  abstract readonly bytesIn: number;
  /** Bytes sent since the link was opened, including framing. */
  abstract readonly bytesOut: number;

  /** Sends one message; it is dropped silently if the link is closed. */
  abstract send(message: unknown): void;
  /** Registers the only receiver of messages. */
  abstract onMessage(receive: (message: unknown) => void): void;
  /** Registers the only observer of the link's end; it is called once. */
  abstract onClose(closed: () => void): void;
  /** Closes the link after the messages that were already sent. */
  abstract close(): void;
}

/** A listener; closing it does not close the links that it accepted. */
export interface Listener {
  readonly address: Address;
  close(): Promise<void>;
}

/** Opens and accepts links. */
export abstract class Network {
  /** Accepts links on `address`; rejects if the port is in use. */
  abstract listen(
    address: Address,
    accept: (link: Link) => void,
  ): Promise<Listener>;

  /** Opens a link; rejects if the other end does not accept it in time. */
  abstract connect(address: Address): Promise<Link>;
}
