#!/usr/bin/env bash
# Runs the formatter, the linter, the build and the tests. The last line is
# `N passed, N failed`, counted from the run. Failures of the tests listed in
# KNOWN-RED.txt are printed and do not fail the run; all other failures do.
set -u
cd "$(dirname "$0")/.." || exit 1
if ! bash scripts/install.sh; then
  echo "failed: npm ci"
  echo "0 passed, 1 failed"
  exit 1
fi
# Otherwise compiled tests whose source was deleted would still run and pass.
rm -rf build
out=$(mktemp)
trap 'rm -f "$out"' EXIT
npm run --silent lint
lint=$?
npm run --silent compile
compile=$?
bundle=1
status=1
if [ "$compile" -eq 0 ]; then
  npm run --silent build
  bundle=$?
  # The tests with real processes run the released executable.
  FOXBARROW_BINARY=dist/foxbarrow npm test --silent -- --tap >"$out"
  status=$?
fi
node scripts/count.mjs "$out" "$status" \
  "lint=$lint" "compile=$compile" "build=$bundle"
