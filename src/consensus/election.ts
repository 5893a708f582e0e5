import type {Peer, TakeOver, VoteAnswer, VoteRequest} from './messages.js';
import {
  adoptTerm,
  findVoter,
  isCounted,
  majorityOf,
  membershipOf,
  roleOf,
  saveVote,
  send,
} from './core-state.js';
import type {CoreState} from './core-state.js';

/** Elections: who may lead a term. */
export interface Election {
  /** Starts an election when no leader was heard in time. */
  tick(): void;
  onVoteRequest(from: Peer, message: VoteRequest): void;
  onVoteAnswer(from: Peer, message: VoteAnswer): void;
  onTakeOver(from: Peer, message: TakeOver): void;
  /** Notes a message of the term's leader; false when its term is over. */
  onLeader(from: Peer, term: number): boolean;
}

/** Creates the elections part; `elected` is called on winning a term. */
export function createElection(
  state: CoreState,
  elected: () => void,
): Election {
  const {self, random, electionTimeout, safeguards} = state.options;
  let deadline: number | undefined;
  let trial = false;
  let votes = new Set<string>();

  /** Random, so that candidates seldom stand at the same moment. */
  function restart(): void {
    deadline = state.now + electionTimeout * (1 + random.fraction());
  }

  function campaign(): void {
    restart();
    if (!isCounted(state)) return;
    state.role.send('timeout');
    state.leader = undefined;
    if (safeguards.preVote) ask(true);
    else stand(false);
  }

  /** Enters a new term as its candidate, with its own vote. */
  function stand(isHandover: boolean): void {
    adoptTerm(state, state.term + 1);
    state.role.send('timeout');
    state.votedFor = self.storage;
    saveVote(state);
    ask(false, isHandover);
  }

  function ask(isTrial: boolean, isHandover = false): void {
    trial = isTrial;
    votes = new Set([self.name]);
    for (const voter of membershipOf(state).voters) {
      if (voter.name === self.name) continue;
      send(state, voter.name, {
        kind: 'vote-request',
        term: trial ? state.term + 1 : state.term,
        trial,
        lastIndex: state.log.lastIndex,
        lastTerm: state.log.lastTerm,
        voter: voter.storage,
        isHandover,
      });
    }
    count();
  }

  function count(): void {
    if (votes.size < majorityOf(state)) return;
    if (trial) stand(false);
    else {
      state.role.send('elected');
      state.leader = self.name;
      elected();
    }
  }

  /**
   * While a leader is heard, nobody is voted for: a member that was cut off
   * and returns with a grudge can't end a term that works.
   */
  function hearsLeader(): boolean {
    if (!safeguards.preVote) return false;
    if (roleOf(state) === 'leader') return true;
    if (state.leader === undefined) return false;
    return state.now - state.heardAt < electionTimeout;
  }

  function isUpToDate(message: VoteRequest): boolean {
    const {lastIndex, lastTerm} = state.log;
    if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm;
    return message.lastIndex >= lastIndex;
  }

  function answer(to: string, message: VoteRequest, granted: boolean): void {
    send(state, to, {
      kind: 'vote-answer',
      term: granted ? message.term : state.term,
      trial: message.trial,
      granted,
    });
  }

  function decideTrial(from: Peer, message: VoteRequest): void {
    const granted = message.term > state.term && isUpToDate(message);
    answer(from.name, message, granted);
  }

  function decide(from: Peer, message: VoteRequest): void {
    adoptTerm(state, message.term);
    const isFree =
      state.votedFor === undefined || state.votedFor === from.storage;
    const granted =
      message.term === state.term &&
      roleOf(state) !== 'leader' &&
      isFree &&
      isUpToDate(message);
    if (granted && state.votedFor === undefined) {
      state.votedFor = from.storage;
      saveVote(state);
    }
    if (granted) restart();
    answer(from.name, message, granted);
  }

  return {
    tick() {
      if (roleOf(state) === 'leader') return;
      if (deadline === undefined) restart();
      if (state.now >= deadline!) campaign();
    },
    onVoteRequest(from, message) {
      const isMeant = message.voter === self.storage;
      if (safeguards.storageIdentity && !isMeant) return;
      const isRefused = hearsLeader() && !message.isHandover;
      if (isRefused) answer(from.name, message, false);
      else if (message.trial) decideTrial(from, message);
      else decide(from, message);
    },
    onVoteAnswer(from, message) {
      if (!message.granted) {
        adoptTerm(state, message.term);
        return;
      }
      const expected = trial ? state.term + 1 : state.term;
      if (roleOf(state) !== 'candidate') return;
      if (message.trial !== trial || message.term !== expected) return;
      if (findVoter(state, from) === undefined) return;
      votes.add(from.name);
      count();
    },
    onTakeOver(from, message) {
      if (message.term !== state.term || state.leader !== from.name) return;
      if (!isCounted(state) || roleOf(state) !== 'follower') return;
      restart();
      stand(true);
    },
    onLeader(from, term) {
      if (term < state.term) return false;
      adoptTerm(state, term);
      state.role.send('followed');
      state.leader = from.name;
      state.heardAt = state.now;
      restart();
      return true;
    },
  };
}
