import {GateAnswer} from '../messages/hops.js';
import type {AnswerHead, Refusal} from '../messages/call.js';

/** How an answer ended. */
export type AnswerEnd = 'whole' | 'refused' | 'cut';

/** An answer that records what is written to it. */
export abstract class FakeAnswer extends GateAnswer {
  abstract readonly head: AnswerHead | undefined;
  abstract readonly body: string;
  abstract readonly refusal: Refusal | undefined;
  abstract readonly admitted: boolean;
  /** Resolves when the answer has ended. */
  abstract readonly ended: Promise<AnswerEnd>;
  /**
   * Resolves when the answer has ended, with `code-name effect` for a refusal
   * and with the kind of its end otherwise.
   */
  abstract summary(): Promise<string>;
}

/** Creates an answer that has not begun yet. */
export function createFakeAnswer(): FakeAnswer {
  let settle: (end: AnswerEnd) => void = () => {};
  const ended = new Promise<AnswerEnd>(resolve => (settle = resolve));

  return new (class extends FakeAnswer {
    head: AnswerHead | undefined;
    body = '';
    refusal: Refusal | undefined;
    admitted = false;
    readonly ended = ended;

    async summary(): Promise<string> {
      const end = await ended;
      if (this.refusal === undefined) return end;
      return `${this.refusal.code.name} ${this.refusal.code.effect}`;
    }

    admit(): void {
      this.admitted = true;
    }

    start(head: AnswerHead): void {
      this.head = head;
    }

    write(chunk: Buffer): boolean {
      this.body += chunk.toString();
      return true;
    }

    onDrain(resume: () => void): void {
      resume();
    }

    end(): void {
      settle('whole');
    }

    refuse(refusal: Refusal): void {
      this.refusal = refusal;
      settle('refused');
    }

    cut(): void {
      settle('cut');
    }

    silent(): void {}
  })();
}
