import {createChannels} from '../../link/channel.js';
import type {Channels} from '../../link/channel.js';
import {Link} from '../../link/link.js';
import type {Timers} from '../../time/timers.js';
import type {TestProcess} from './test-process.js';

/** What a test decides about links, and what it observes. */
export interface TestNetwork {
  readonly timers: Timers;
  /** Milliseconds one way. */
  readonly delay: (from: string, to: string) => number;
  readonly isCut: (from: string, to: string) => boolean;
  readonly onSend: (from: string, to: string, message: unknown) => void;
  /** Milliseconds until a process handles a message that has arrived. */
  readonly handlingDelay: (to: string) => number;
}

/** A link between two processes. */
export interface TestLink {
  readonly ends: readonly [Channels, Channels];
  readonly processes: readonly [TestProcess, TestProcess];
  isOpen(): boolean;
  close(): void;
}

/** Milliseconds after which the ends of a silent link close it. */
const silenceTime = 1_500;

/** Opens a link; after a cut it stays silent until both ends close it. */
export function openLink(
  network: TestNetwork,
  left: TestProcess,
  right: TestProcess,
): TestLink {
  const {timers} = network;
  const closers: Array<() => void> = [];
  let isBroken = false;

  function breakLink(delay: number): void {
    if (isBroken) return;
    isBroken = true;
    for (const close of closers) timers.after(delay, close);
  }

  class TestEnd extends Link {
    readonly peer: string;
    readonly pending = 0;
    readonly bytesIn = 0;
    readonly bytesOut = 0;
    other?: TestEnd;
    private receive: (message: unknown) => void = () => {};
    private observe: () => void = () => {};
    private isOpen = true;

    constructor(
      private readonly from: TestProcess,
      private readonly to: TestProcess,
    ) {
      super();
      this.peer = to.name;
      closers.push(() => from.run(() => this.end()));
    }

    send(message: unknown): void {
      const {from, to} = this;
      if (!this.isOpen || isBroken || from.isDead) return;
      network.onSend(from.name, to.name, message);
      const copy = structuredClone(message);
      timers.after(network.delay(from.name, to.name), () => {
        if (network.isCut(from.name, to.name)) breakLink(silenceTime);
        if (isBroken) return;
        const deliver = () => to.run(() => this.other!.deliver(copy));
        const wait = network.handlingDelay(to.name);
        if (wait === 0) deliver();
        else timers.after(wait, deliver);
      });
    }

    onMessage(receive: (message: unknown) => void): void {
      this.receive = receive;
    }

    onClose(observe: () => void): void {
      this.observe = observe;
    }

    close(): void {
      breakLink(0);
    }

    private deliver(message: unknown): void {
      if (this.isOpen) this.receive(message);
    }

    private end(): void {
      if (!this.isOpen) return;
      this.isOpen = false;
      this.observe();
    }
  }

  const near = new TestEnd(left, right);
  const far = new TestEnd(right, left);
  near.other = far;
  far.other = near;
  return {
    ends: [createChannels(near), createChannels(far)],
    processes: [left, right],
    isOpen: () => !isBroken,
    close: () => breakLink(1),
  };
}
