#!/usr/bin/env bash
# Builds what the cases start. The stand-ins are plain modules of Node.js, so there is nothing to
# compile; this checks that each can be parsed.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [45678]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
