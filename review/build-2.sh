#!/bin/sh
# The stand-ins of the second review are plain modules of Node.js and need no build; this checks their syntax.
# It uses nothing of the project but the programs that the deploy file builds.
set -e
cd "$(dirname "$0")"
for file in rig-2.mjs 6/run.mjs 7/run.mjs 8/run.mjs 9/run.mjs 10/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
