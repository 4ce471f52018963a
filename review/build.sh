#!/usr/bin/env bash
# Builds the case programs with the stand-ins that they start: the store of the project's own
# tests, and the engines and clients of review/harness. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/[1-9]/case.mts; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ./node_modules/.bin/esbuild "$source" --bundle --platform=node --format=esm \
    --target=node24 --log-level=warning --outfile="dist/review/case-$number.mjs"
done
