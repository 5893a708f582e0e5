/** Reports a node's evidence about requests to its home. */
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
  /** Uses this link from now on and sends recent evidence over it. */
  attach(channels: Channels): void;
  /** Reports that the incarnation `life` crashed while these requests ran. */
  crashed(life: string, suspects: readonly Suspect[]): void;
  /** Reports that the node's instance answered the quarantined request `name`. */
  answered(name: string): void;
}

/**
 * Milliseconds for which evidence is sent again to each new home, since the
 * previous home may have been cut off from the others when it received it.
 */
const resendFor = 10_000;

/** Maximum number of pieces of evidence kept for sending again. */
const maxRecent = 64;

/** Maximum number of suspects reported for one crash. */
const maxSuspects = 64;

/** Milliseconds in which answers to one request are reported once. */
const answerInterval = 500;

interface RecentEvidence {
  readonly at: number;
  readonly evidence: Evidence;
}

/** Creates a node's reporter. */
export function createEvidenceReporter(
  options: EvidenceReporterOptions,
): EvidenceReporter {
  const {name, timers} = options;
  const processId = Math.floor(timers.wall()).toString(36);
  let count = 0;
  let recent: RecentEvidence[] = [];
  let channel: Channel | undefined;

  const nextId = () => `${name}/${processId}/${count++}`;

  function report(evidence: Evidence): void {
    const at = timers.now();
    recent = recent
      .filter(item => at - item.at < resendFor)
      .slice(1 - maxRecent);
    recent.push({at, evidence});
    channel?.send(evidence);
  }

  function wasReportedRecently(name: string): boolean {
    return recent.some(
      ({at, evidence}) =>
        evidence.kind === 'answer' &&
        evidence.name === name &&
        timers.now() - at < answerInterval,
    );
  }

  return {
    attach: channels => {
      const newChannel = channels.on('quarantine');
      channel = newChannel;
      channels.onClose(() => {
        if (channel === newChannel) channel = undefined;
      });
      for (const {at, evidence} of recent) {
        if (timers.now() - at < resendFor) newChannel.send(evidence);
      }
    },
    crashed: (life, suspects) =>
      report({
        kind: 'crash',
        id: nextId(),
        life,
        suspects: suspects.slice(0, maxSuspects),
      }),
    answered: requestName => {
      if (wasReportedRecently(requestName)) return;
      report({kind: 'answer', id: nextId(), name: requestName});
    },
  };
}
