/** Defaults of all settings, in one place; times in milliseconds. */
export const defaults = {
  logLevel: 'info',
  heartbeat: 50,
  electionTimeout: 500,
  batchWindow: 50,
  batchIdle: 200,
  snapshotEntries: 1000,
  lease: 10_000,
  renewal: 2_000,
  freshness: 3_000,
  stopDeadline: 30_000,
  bodyLimit: 64 * 1024 * 1024,
  headerLimit: 16 * 1024,
  queueLength: 64,
} as const;
