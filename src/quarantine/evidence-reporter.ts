/** A node's part: tells its home what it has seen of requests. */
import type {Channel, Channels} from '../link/channel.js';
import type {Timers} from '../time/timers.js';
import type {Evidence, Suspect} from './messages.js';

/** Options of `createEvidenceReporter`. */
export interface EvidenceReporterOptions {
  /** The node's name. */
  readonly name: string;
  readonly timers: Timers;
}

/** Reports evidence to the node's home. */
export interface EvidenceReporter {
  /** Takes a link to a home; the one before is no longer used. */
  attach(channels: Channels): void;
  /** A life of the own instance ended while these requests ran. */
  crashed(life: string, suspects: readonly Suspect[]): void;
  /** The own instance answered a quarantined request. */
  answered(name: string): void;
}

/**
 * Milliseconds for which evidence is told again to each new home: the last one
 * may have been out of touch with the others when it was told.
 */
const keptFor = 10_000;

/** Pieces of evidence kept for that. */
const keptCount = 64;

/** Suspects of one crash that are told. */
const mostSuspects = 64;

/** Milliseconds in which one answered request is told once. */
const answerPause = 500;

interface Kept {
  readonly at: number;
  readonly evidence: Evidence;
}

/** Creates a node's reporter. */
export function createEvidenceReporter(
  options: EvidenceReporterOptions,
): EvidenceReporter {
  const {name, timers} = options;
  const life = Math.floor(timers.wall()).toString(36);
  let count = 0;
  let kept: Kept[] = [];
  let channel: Channel | undefined;

  const nextId = () => `${name}/${life}/${count++}`;

  function tell(evidence: Evidence): void {
    const at = timers.now();
    kept = kept.filter(one => at - one.at < keptFor).slice(1 - keptCount);
    kept.push({at, evidence});
    channel?.send(evidence);
  }

  function isTold(name: string): boolean {
    return kept.some(
      ({at, evidence}) =>
        evidence.kind === 'answer' &&
        evidence.name === name &&
        timers.now() - at < answerPause,
    );
  }

  return {
    attach: channels => {
      const own = channels.on('quarantine');
      channel = own;
      channels.onClose(() => {
        if (channel === own) channel = undefined;
      });
      for (const {at, evidence} of kept) {
        if (timers.now() - at < keptFor) own.send(evidence);
      }
    },
    crashed: (ended, suspects) =>
      tell({
        kind: 'crash',
        id: nextId(),
        life: ended,
        suspects: suspects.slice(0, mostSuspects),
      }),
    answered: answered => {
      if (isTold(answered)) return;
      tell({kind: 'answer', id: nextId(), name: answered});
    },
  };
}
