#!/usr/bin/env bash
# Compiles, builds and runs the demo; exits with 0 only if all answers are right.
set -eu
cd "$(dirname "$0")/.."
npm run --silent compile
npm run --silent build
# The demo runs the released executable.
FOXBARROW_BINARY=dist/foxbarrow node build/bench/demo/main.js
