/** Runs a bounded load as a separate process and prints its summary as JSON. */
import {parseArgs} from 'node:util';
import {createRandom} from '../../src/random/random.js';
import {createTimers} from '../../src/time/timers.js';
import {runLoad} from './load.js';
import {parseMix} from './mix.js';

const {values} = parseArgs({
  options: {
    /** Comma-separated addresses of entries. */
    target: {type: 'string'},
    rate: {type: 'string', default: '50'},
    count: {type: 'string', default: '1000'},
    seconds: {type: 'string', default: '10'},
    /** Weights of the kinds of calls, such as `stock-lookup=8,booking=1`. */
    mix: {type: 'string', default: 'stock-lookup'},
    'upload-bytes': {type: 'string', default: '100000'},
    timeout: {type: 'string', default: '5000'},
    name: {type: 'string', default: 'call'},
    seed: {type: 'string', default: '1'},
  },
});

if (values.target === undefined) {
  process.stderr.write('--target IP:PORT[,IP:PORT...]\n');
  process.exit(2);
}

const summary = await runLoad({
  targets: values.target.split(','),
  rate: Number(values.rate),
  count: Number(values.count),
  duration: Number(values.seconds) * 1000,
  mix: parseMix(values.mix),
  uploadBytes: Number(values['upload-bytes']),
  timeout: Number(values.timeout),
  openLimit: 2000,
  name: values.name,
  random: createRandom(Number(values.seed)),
  timers: createTimers(),
});
process.stdout.write(`${JSON.stringify(summary)}\n`);
const {wrong, cut, failed} = summary.endings;
process.exit(wrong + cut + failed === 0 ? 0 : 1);
