#!/bin/sh
# The stand-ins of the scripts are plain modules of Node.js and need no build; this checks their syntax.
set -e
cd "$(dirname "$0")"
for file in *.mjs [0-9]/*.mjs; do node --check "$file"; done
