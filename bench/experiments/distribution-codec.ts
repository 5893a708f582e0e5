import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import {WebSocket} from 'ws';
import {createChannels} from '../../src/link/channel.js';
import {createTcpNetwork} from '../../src/link/tcp-network.js';
import type {
  CodecCost,
  CodecMode,
  CodecRouter,
  CodecSetup,
} from '../distribution/codec-server.js';
import {compare} from '../experiment.js';
import type {Experiment, Outcome, RunOptions} from '../experiment.js';

const clients = 200;
const pushes = 100;

interface Version {
  readonly version: number;
}

/**
 * Cost at the server, and the processor time of all clients in milliseconds.
 */
interface Cost extends CodecCost {
  readonly client: number;
}

function nextMessage<T>(child: ChildProcess): Promise<T> {
  return new Promise((resolve, reject) => {
    const onExit = () => reject(new Error('the codec server ended'));
    child.once('exit', onExit);
    child.once('message', message => {
      child.off('exit', onExit);
      resolve(message as T);
    });
  });
}

async function openLinks(
  address: string,
  sharesKeys: boolean,
): Promise<Array<() => void>> {
  const network = createTcpNetwork({sharesKeys});
  const closers: Array<() => void> = [];
  for (let client = 0; client < clients; client++) {
    const link = await network.connect(address);
    const channels = createChannels(link);
    const fleet = channels.on('fleet');
    channels.on('configuration').onMessage(body => {
      const {version} = body as Version;
      fleet.send({kind: 'acknowledgement', version});
    });
    closers.push(() => link.close());
  }
  return closers;
}

function openTrpc(address: string): Array<() => void> {
  return Array.from({length: clients}, () => {
    const client = createWSClient({
      url: `ws://${address}`,
      WebSocket: WebSocket as never,
    });
    const trpc = createTRPCClient<CodecRouter>({links: [wsLink({client})]});
    trpc.pushes.subscribe(undefined, {
      onData(push) {
        const {version} = push as Version;
        void trpc.acknowledge.mutate({version});
      },
    });
    return () => void client.close();
  });
}

function processorTime(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

async function measure(mode: CodecMode, seconds: number): Promise<Cost> {
  const path = fileURLToPath(
    new URL('../distribution/codec-server.js', import.meta.url),
  );
  const gap = ((seconds / 3) * 1000 * 0.8) / pushes;
  const setup: CodecSetup = {mode, clients, pushes, gap};
  const child = fork(path, [JSON.stringify(setup)]);
  const address = await nextMessage<string>(child);
  const result = nextMessage<CodecCost>(child);
  const start = processorTime();
  const closers =
    mode === 'trpc'
      ? openTrpc(address)
      : await openLinks(address, mode === 'records');
  const cost = await result;
  const client = processorTime() - start;
  for (const close of closers) close();
  child.disconnect();
  return {...cost, client};
}

async function run(options: RunOptions): Promise<Outcome> {
  const trpc = await measure('trpc', options.seconds);
  const maps = await measure('maps', options.seconds);
  const records = await measure('records', options.seconds);
  const totalPushes = clients * pushes;
  const rows = [
    {name: 'MessagePack, keys in each message', cost: maps},
    {name: 'MessagePack, keys once a link', cost: records},
  ].flatMap(({name, cost}) => [
    compare(
      `${name}: bytes of a push and its acknowledgement`,
      'B',
      (cost.bytesIn + cost.bytesOut) / totalPushes,
      (trpc.bytesIn + trpc.bytesOut) / totalPushes,
    ),
    compare(
      `${name}: processor time of the source, a push`,
      'us',
      (cost.processor * 1000) / totalPushes,
      (trpc.processor * 1000) / totalPushes,
    ),
    compare(
      `${name}: processor time of a node, a push`,
      'us',
      (cost.client * 1000) / totalPushes,
      (trpc.client * 1000) / totalPushes,
    ),
  ]);
  return {
    rows,
    counts: {clients, pushes},
    notes: ['one push in eight carries a section, the others a version only'],
  };
}

/** Cost of pushes and acknowledgements by codec. */
export const experiment: Experiment = {
  name: 'distribution-codec',
  about: 'pushes and acknowledgements over MessagePack links or trpc',
  baseline: 'trpc subscriptions and mutations over one WebSocket a node',
  seconds: 24,
  run,
};
