#!/bin/sh
# Writes record.txt in this folder. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec node review/1/run.mjs
