import {z} from 'zod';
import {isAddress} from '../link/address.js';
import {defaults} from './defaults.js';
import {limitsSchema} from './limits.js';

/** The settings files, one per process; unknown keys are errors. */

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 of letters a-z, digits, dot or hyphen',
  );

const addressForm = 'must be an IP number and a port, such as 127.0.0.1:7000';

const address = z
  .string({required_error: addressForm, invalid_type_error: addressForm})
  .refine(isAddress, addressForm);

/** A process that links go to; its place lets those nearby prefer it. */
const home = z.union(
  [
    address,
    z
      .object({
        address,
        failureDomain: name.optional(),
        region: name.optional(),
      })
      .strict(),
  ],
  {
    errorMap: () => ({
      message: 'an IP number and a port, or an object with such an `address`',
    }),
  },
);

const milliseconds = z.number().int().nonnegative();

/** For periods and timeouts, where none at all would be a busy loop. */
const period = z.number().int().positive();

const common = {
  /** The process's own name, unique in the deployment. */
  name,
  /** The region it stands in; the same name as in all other processes there. */
  region: name,
  /** What fails together with it, such as a hall or a rack. */
  failureDomain: name,
  /** How much is logged. */
  logLevel: z
    .enum(['error', 'warn', 'info', 'debug'])
    .default(defaults.logLevel),
  /** Seed of the process's random choices; absent for a fresh one. */
  seed: z.number().int().optional(),
  /** Metrics, health and readiness. */
  adminAddress: address,
  /** Secret that changes of state through the admin listener must show. */
  adminToken: z.string().min(16).optional(),
  /** Longest graceful shutdown. */
  stopDeadline: milliseconds.default(defaults.stopDeadline),
} as const;

const member = z
  .object({
    /** The member's name, that of its own settings. */
    name,
    /** Where it takes peer messages of the control group. */
    peerAddress: address,
    /** Where operators reach it. */
    operatorAddress: address,
    /** Where relays and nodes reach it. */
    distributionAddress: address,
    /** The member's failure domain. */
    failureDomain: name,
  })
  .strict();

/** Settings of a control process. */
export const controlSchema = z
  .object({
    /** Which role these settings are for. */
    role: z.literal('control'),
    ...common,
    /** Folder of the log and snapshots, on the VM's own disk; made when missing. */
    dataFolder: z.string().min(1),
    /** Where it takes peer messages of the control group. */
    peerAddress: address,
    /** Where operators reach it. */
    operatorAddress: address,
    /** Where relays and nodes reach it. */
    distributionAddress: address,
    /** Secret that operators' changes must show; absent for none. */
    operatorToken: z.string().min(16).optional(),
    /** Largest request to the operators' API, in bytes. */
    operatorBodyLimit: z
      .number()
      .int()
      .positive()
      .default(defaults.operatorBodyLimit),
    /** Limits on configuration; the leader's count for each change. */
    limits: limitsSchema.default({}),
    /** The first members of the group, this process among them. */
    members: z.array(member).min(1).max(7),
    /** How often the leader shows that it lives. */
    heartbeat: period.default(defaults.heartbeat),
    /** Least silence of a leader after which another may be elected. */
    electionTimeout: period.default(defaults.electionTimeout),
    /** Log entries after which a snapshot replaces them. */
    snapshotEntries: z
      .number()
      .int()
      .positive()
      .default(defaults.snapshotEntries),
    /** How long changes are gathered before they are sent to nodes. */
    batchWindow: milliseconds.default(defaults.batchWindow),
    /** How long an instance is kept without a renewal. */
    lease: period.default(defaults.lease),
    /** How long idempotency claims are kept; the same at every node. */
    claimRetention: milliseconds.default(defaults.claimRetention),
  })
  .strict();

/** Settings of a relay process. */
export const relaySchema = z
  .object({
    /** Which role these settings are for. */
    role: z.literal('relay'),
    ...common,
    /** Where nodes reach it. */
    distributionAddress: address,
    /** Distribution addresses of the control processes. */
    sources: z.array(home).min(1),
    /** Distribution addresses of the other relays. */
    relays: z.array(address).default([]),
    /** How long changes are gathered again; control has done so already. */
    batchWindow: milliseconds.default(defaults.relayBatchWindow),
    /** How long an instance is kept without a renewal. */
    lease: period.default(defaults.lease),
  })
  .strict();

const upstream = z
  .object({
    /** The instance's id; absent for the process's name. */
    instance: name.optional(),
    /** The service that it is an instance of. */
    service: name,
    /** Where the node reaches it, on the same VM. */
    address,
    /** Requests that it runs at once. */
    slots: z.number().int().positive(),
    /** Connections that it takes at once. */
    connections: z.number().int().positive(),
    /** Path that answers 200 when the upstream is ready; a hint only. */
    healthPath: z.string().startsWith('/').optional(),
  })
  .strict();

/** Settings of a node process. */
export const nodeSchema = z
  .object({
    /** Which role these settings are for. */
    role: z.literal('node'),
    ...common,
    /** Where callers reach the entry. */
    callerAddress: address,
    /** Where other nodes reach the gate. */
    gateAddress: address,
    /** Distribution addresses of relays or control processes, any order. */
    homes: z.array(home).min(1),
    /** The upstream beside it; absent for a node that only takes callers. */
    upstream: upstream.optional(),
    /** Local address where the upstream announces itself; absent for none. */
    announceAddress: address.optional(),
    /** Services that callers reach through it, its own upstream's always; absent for all. */
    calls: z.array(name).optional(),
    /** Where it takes claims of its service; absent to hold none. */
    keeperAddress: address.optional(),
    /** How long idempotency claims are kept; the same at every control. */
    claimRetention: milliseconds.default(defaults.claimRetention),
    /** Claims that it holds at most, for each service. */
    claimLimit: z.number().int().positive().default(defaults.claimLimit),
    /** Largest answer body kept for resends, in bytes. */
    claimAnswerLimit: z
      .number()
      .int()
      .nonnegative()
      .default(defaults.claimAnswerLimit),
    /** How often its instance's lease is renewed. */
    renewal: period.default(defaults.renewal),
    /** Largest request body; a policy's own limit counts where smaller. */
    bodyLimit: z.number().int().positive().default(defaults.bodyLimit),
    /** Largest request head. */
    headerLimit: z.number().int().positive().default(defaults.headerLimit),
    /** Requests that wait for a slot at most. */
    queueLength: z.number().int().nonnegative().default(defaults.queueLength),
  })
  .strict();

/** Any settings file. */
export const settingsSchema = z.discriminatedUnion('role', [
  controlSchema,
  relaySchema,
  nodeSchema,
]);

export type ControlSettings = z.infer<typeof controlSchema>;
export type RelaySettings = z.infer<typeof relaySchema>;
export type NodeSettings = z.infer<typeof nodeSchema>;
export type Settings = z.infer<typeof settingsSchema>;
