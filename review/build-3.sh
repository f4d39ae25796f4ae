#!/bin/sh
# The cases 11 to 15 start the programs that the deploy file builds, and stand-ins in plain Node.js
# (rig-3.mjs and the case.mjs of each case), for which nothing is to be built. This only checks them.
cd "$(dirname "$0")" || exit 1
for file in rig-3.mjs 1[1-5]/case.mjs; do
  [ -f "$file" ] && { node --check "$file" || exit 1; }
done
exit 0
