/**
 * The waiting calls of one priority, in the order of start-time fair queueing
 * across workspaces. Each workspace has a start tag on a virtual time that
 * advances with the started work. The workspace with the lowest tag is next, so
 * a workspace that sends more than its share delays its own calls first. In a
 * deployment without workspaces, kinds of calls take their place.
 * docs/design/sharing.md compares this with other orders.
 */

/** Order of the calls of one workspace: first or last arrival first. */
export type Order = 'fifo' | 'lifo';

/** Options of `createFairQueue`. */
export interface FairQueueOptions<T> {
  /** Order within a workspace; `fifo` by default. */
  readonly order?: Order | undefined;
  /** The workspace that a call is charged to; calls without one share one. */
  flowOf(call: T): string | undefined;
  /** Expected work of a call in milliseconds; more than 0. */
  cost(call: T): number;
}

/** The expected work of the waiting calls of one workspace. */
export interface WaitingWork {
  readonly workspace: string | undefined;
  readonly work: number;
}

/** The waiting calls of one priority. */
export interface FairQueue<T> {
  readonly length: number;
  /** Number of workspaces with state. */
  readonly workspaces: number;
  add(call: T): void;
  /** Removes a call; false if it is not waiting. */
  remove(call: T): boolean;
  /** Removes and returns the next call. */
  take(): T | undefined;
  /** Charges the workspace of a call for its start. */
  started(call: T): void;
  /** Number of calls that a new call of the workspace would wait for. */
  ahead(workspace: string | undefined): number;
  /** Number of waiting calls of the workspace. */
  waitingOf(workspace: string | undefined): number;
  /** Expected work of the waiting calls of the workspace. */
  workOf(workspace: string | undefined): number;
  /** The workspace with the most waiting work; undefined if none waits. */
  largest(): WaitingWork | undefined;
  /** Removes and returns the last call of the workspace. */
  removeLast(workspace: string | undefined): T | undefined;
  /**
   * Asks for each call, in the order in which they would start, whether it
   * stays, and removes the others. A removed call delays none behind it.
   */
  retain(isKept: (call: T) => boolean): void;
  /** Removes and returns all calls in the order in which they would start. */
  clear(): T[];
  /** Drops the state of workspaces without waiting calls. */
  forgetIdle(): void;
}

interface Entry<T> {
  readonly call: T;
  /** Number of the arrival; decides between equal tags. */
  readonly arrival: number;
}

interface Flow<T> {
  readonly workspace: string | undefined;
  /** Start tag of the next call. */
  tag: number;
  entries: Array<Entry<T>>;
}

/** A position in the calls of one workspace. */
interface Cursor<T> {
  readonly flow: Flow<T>;
  readonly kept: Array<Entry<T>>;
  index: number;
  tag: number;
}

/** Number of workspaces up to which idle ones are not looked for. */
const minSweep = 16;

/** Creates an empty queue. */
export function createFairQueue<T>(options: FairQueueOptions<T>): FairQueue<T> {
  const {cost, flowOf} = options;
  const flows = new Map<string | undefined, Flow<T>>();
  let virtualTime = 0;
  let length = 0;
  let arrivals = 0;
  /** Number of workspaces at which idle ones are dropped. */
  let sweepAt = minSweep;

  function openFlow(workspace: string | undefined): Flow<T> {
    const existing = flows.get(workspace);
    if (existing !== undefined) return existing;
    if (flows.size >= sweepAt) sweep();
    const flow: Flow<T> = {workspace, tag: virtualTime, entries: []};
    flows.set(workspace, flow);
    return flow;
  }

  /** Drops idle workspaces of which the tag no longer matters. */
  function sweep(): void {
    for (const [workspace, {tag, entries}] of flows) {
      if (entries.length === 0 && tag <= virtualTime) flows.delete(workspace);
    }
    sweepAt = Math.max(minSweep, 2 * flows.size);
  }

  function waitingFlows(): Array<Flow<T>> {
    return [...flows.values()].filter(({entries}) => entries.length > 0);
  }

  function workIn(entries: ReadonlyArray<Entry<T>>): number {
    return entries.reduce((sum, {call}) => sum + cost(call), 0);
  }

  function workOf(workspace: string | undefined): number {
    return workIn(flows.get(workspace)?.entries ?? []);
  }

  /** Start tag that a new last call of the workspace would have. */
  function lastTag(workspace: string | undefined): number {
    const tag = flows.get(workspace)?.tag ?? virtualTime;
    return Math.max(tag, virtualTime) + workOf(workspace);
  }

  /** Number of calls of the flow with start tags up to `limit`. */
  function countUntil({tag, entries}: Flow<T>, limit: number): number {
    let count = 0;
    for (const {call} of entries) {
      if (tag > limit) break;
      count++;
      tag += cost(call);
    }
    return count;
  }

  function removeAt(flow: Flow<T>, index: number): T | undefined {
    const [removed] = flow.entries.splice(index, 1);
    if (removed !== undefined) length--;
    return removed?.call;
  }

  function retain(isKept: (call: T) => boolean): void {
    const cursors = waitingFlows().map(flow => startOf(flow));
    for (let next = first(cursors); next; next = first(cursors)) {
      const entry = next.flow.entries[next.index++]!;
      if (!isKept(entry.call)) continue;
      next.kept.push(entry);
      next.tag += cost(entry.call);
    }
    for (const {flow, kept} of cursors) {
      length -= flow.entries.length - kept.length;
      flow.entries = kept;
    }
  }

  return {
    get length() {
      return length;
    },
    get workspaces() {
      return flows.size;
    },
    add(call) {
      const flow = openFlow(flowOf(call));
      if (flow.entries.length === 0) flow.tag = Math.max(flow.tag, virtualTime);
      const entry = {call, arrival: arrivals++};
      if (options.order === 'lifo') flow.entries.unshift(entry);
      else flow.entries.push(entry);
      length++;
    },
    remove(call) {
      const flow = flows.get(flowOf(call));
      const index = flow?.entries.findIndex(entry => entry.call === call) ?? -1;
      if (index < 0) return false;
      removeAt(flow!, index);
      return true;
    },
    take() {
      const cursors = waitingFlows().map(flow => startOf(flow));
      const next = first(cursors);
      return next && removeAt(next.flow, 0);
    },
    started(call) {
      const flow = openFlow(flowOf(call));
      virtualTime = Math.max(virtualTime, flow.tag);
      flow.tag = virtualTime + cost(call);
    },
    ahead(workspace) {
      const limit = lastTag(workspace);
      let count = 0;
      for (const flow of flows.values()) {
        const isOwn = flow.workspace === workspace;
        count += isOwn ? flow.entries.length : countUntil(flow, limit);
      }
      return count;
    },
    waitingOf: workspace => flows.get(workspace)?.entries.length ?? 0,
    workOf,
    largest() {
      let largest: WaitingWork | undefined;
      for (const {workspace, entries} of waitingFlows()) {
        const work = workIn(entries);
        if (work > (largest?.work ?? 0)) largest = {workspace, work};
      }
      return largest;
    },
    removeLast(workspace) {
      const flow = flows.get(workspace);
      return flow && removeAt(flow, flow.entries.length - 1);
    },
    retain,
    clear() {
      const calls: T[] = [];
      retain(call => {
        calls.push(call);
        return true;
      });
      for (const flow of flows.values()) flow.entries = [];
      length = 0;
      return calls;
    },
    forgetIdle() {
      for (const [workspace, {entries}] of flows) {
        if (entries.length === 0) flows.delete(workspace);
      }
    },
  };
}

function startOf<T>(flow: Flow<T>): Cursor<T> {
  return {flow, kept: [], index: 0, tag: flow.tag};
}

/** The cursor at the call that starts first; undefined at the end of all. */
function first<T>(cursors: ReadonlyArray<Cursor<T>>): Cursor<T> | undefined {
  let earliest: Cursor<T> | undefined;
  for (const cursor of cursors) {
    if (cursor.index >= cursor.flow.entries.length) continue;
    if (earliest === undefined || isBefore(cursor, earliest)) earliest = cursor;
  }
  return earliest;
}

function isBefore<T>(left: Cursor<T>, right: Cursor<T>): boolean {
  if (left.tag !== right.tag) return left.tag < right.tag;
  return arrivalAt(left) < arrivalAt(right);
}

function arrivalAt<T>({flow, index}: Cursor<T>): number {
  return flow.entries[index]!.arrival;
}
