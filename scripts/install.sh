#!/usr/bin/env bash
# Installs the packages of the lock file unless node_modules is up to date.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d node_modules ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --no-audit --no-fund >&2
fi
