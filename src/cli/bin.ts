#!/usr/bin/env node
import process from 'node:process';
import {exitCodes} from './exit-codes.js';
import {loaders} from './loaders.js';
import {main} from './main.js';

/** The program's entry: connects `main` with this process. */
main(process.argv.slice(2), loaders, {
  out: text => void process.stdout.write(text),
  error: text => void process.stderr.write(text),
}).then(
  code => {
    if (code !== undefined) process.exitCode = code;
  },
  (error: Error) => {
    process.stderr.write(`foxbarrow: ${error.message}\n`);
    process.exitCode = exitCodes.failed;
  },
);
