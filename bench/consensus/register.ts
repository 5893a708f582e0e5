import {createHash} from 'node:crypto';
import {StateMachine} from '../../src/consensus/consensus.js';

/** A replicated map of names to texts, which stands in for a configuration. */
export interface Register extends StateMachine {
  readonly size: number;
  get(name: string): string | undefined;
  /** Hash of the complete state. */
  digest(): string;
}

/** Encodes one change of the register. */
export function encodeChange(name: string, text: string): Uint8Array {
  return Buffer.from(`${name}=${text}`);
}

/** Creates an empty register. */
export function createRegister(): Register {
  let texts = new Map<string, string>();
  return new (class extends StateMachine {
    get size(): number {
      return texts.size;
    }

    get(name: string): string | undefined {
      return texts.get(name);
    }

    apply(index: number, entry: Uint8Array): Uint8Array {
      const [name, text] = Buffer.from(entry).toString().split('=', 2);
      texts.set(name!, text!);
      return Buffer.from(String(index));
    }

    snapshot(): Uint8Array {
      return Buffer.from(JSON.stringify([...texts]));
    }

    restore(index: number, snapshot: Uint8Array): void {
      texts = new Map(JSON.parse(Buffer.from(snapshot).toString()));
    }

    digest(): string {
      const text = JSON.stringify([...texts].sort());
      return createHash('sha256').update(text).digest('hex');
    }
  })();
}
