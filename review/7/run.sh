#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
: > record.txt || exit 2
exec node run.mjs "$PWD/record.txt"
