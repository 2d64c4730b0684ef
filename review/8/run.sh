#!/bin/sh
# Writes record.txt in this folder; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." && exec node review/8/run.mjs
