/**
 * Resolves in the next turn of the event loop, after received messages and due
 * timers. Work whose duration grows with its input must await this from time to
 * time. Otherwise it delays heartbeats and answers to pings, and other processes
 * take this one for crashed.
 */
export function nextTurn(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
