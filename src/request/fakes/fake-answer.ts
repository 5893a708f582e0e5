import {Answer} from '../messages/answer.js';
import type {AnswerHead, Refusal} from '../messages/call.js';

/** How an answer ended. */
export type AnswerEnd = 'whole' | 'refused' | 'cut';

/** An answer that keeps what it is given. */
export abstract class FakeAnswer extends Answer {
  abstract readonly head: AnswerHead | undefined;
  abstract readonly body: string;
  abstract readonly refusal: Refusal | undefined;
  abstract readonly admitted: boolean;
  /** Resolves with how it ended. */
  abstract readonly ended: Promise<AnswerEnd>;
  /** `code-name effect` of a refusal, else how it ended; once it has. */
  abstract summary(): Promise<string>;
}

/** Creates an answer that has not begun. */
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
  })();
}
