import {Link} from './link.js';

/** A link that delegates to another link; subclasses override single methods. */
export abstract class ForwardingLink extends Link {
  readonly peer: string;

  constructor(protected readonly link: Link) {
    super();
    this.peer = link.peer;
  }

  get pending(): number {
    return this.link.pending;
  }

  get bytesIn(): number {
    return this.link.bytesIn;
  }

  get bytesOut(): number {
    return this.link.bytesOut;
  }

  send(message: unknown): void {
    this.link.send(message);
  }

  onMessage(receive: (message: unknown) => void): void {
    this.link.onMessage(receive);
  }

  onClose(closed: () => void): void {
    this.link.onClose(closed);
  }

  close(): void {
    this.link.close();
  }
}
