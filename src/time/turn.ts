/**
 * Lets the loop do what waits: messages that came, timers that are due. Work
 * that grows with its input gives way so from time to time, or heartbeats and
 * answers to pings wait behind it and this process is taken for a dead one.
 */
export function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
