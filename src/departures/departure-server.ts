/** Answers the questions about departures of nodes and relays. */
import type {Channel, Channels} from '../link/channel.js';
import type {Log} from '../log/log.js';
import type {DepartureStore} from './departure-store.js';
import {parseQuestion} from './messages.js';
import type {Question, Reply} from './messages.js';

/** The departures at one home. */
export interface DepartureServer {
  /** Serves the link of a node or a relay. */
  accept(channels: Channels): void;
}

/** Creates the server of one home. */
export function createDepartureServer(
  departures: DepartureStore,
  parentLog: Log,
): DepartureServer {
  const log = parentLog.scope('departures');
  const channels = new Set<Channel>();

  const sendReady = (channel: Channel) =>
    channel.send({kind: 'ready'} satisfies Reply);

  async function answer(question: Question): Promise<Reply | undefined> {
    const {number} = question;
    if (question.kind === 'record') {
      const isRecorded = await departures.record(question.departure);
      return isRecorded ? {kind: 'recorded', number} : undefined;
    }
    const recalled = await departures.recall(question.instance);
    if (recalled === undefined) return undefined;
    return {kind: 'recalled', number, departures: recalled};
  }

  async function serve(channel: Channel, question: Question): Promise<void> {
    const reply = await answer(question);
    if (reply !== undefined) channel.send(reply);
  }

  function accept(accepted: Channels): void {
    const channel = accepted.on('departures');
    channels.add(channel);
    accepted.onClose(() => channels.delete(channel));
    channel.onMessage(body => {
      const question = parseQuestion(body);
      if (question !== undefined) void serve(channel, question);
      else log.warn('question refused', {peer: accepted.link.peer});
    });
    if (departures.isServed()) sendReady(channel);
  }

  departures.onServed(() => {
    for (const channel of channels) sendReady(channel);
  });

  return {accept};
}
