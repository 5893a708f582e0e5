#!/usr/bin/env bash
# Installs, builds and runs the demo; exits 0 only if every answer was right.
set -eu
cd "$(dirname "$0")/.."
npm run --silent compile
npm run --silent build
# What runs is the file that ships.
FOXBARROW_BINARY=dist/foxbarrow node build/bench/demo/main.js
