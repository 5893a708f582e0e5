#!/usr/bin/env bash
# Installs spin and gcc, which check the models, unless they are installed.
set -eu
if command -v spin >/dev/null 2>&1 && command -v gcc >/dev/null 2>&1; then
  exit 0
fi
if ! command -v apt-get >/dev/null 2>&1; then
  echo "spin and gcc are missing and there is no apt-get; install them with the system's package manager" >&2
  exit 1
fi
if ! { apt-get update -qq && apt-get install -y -qq spin gcc; } >&2; then
  echo "spin and gcc could not be installed; run as root: apt-get install spin gcc" >&2
  exit 1
fi
