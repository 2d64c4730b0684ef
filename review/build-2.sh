#!/bin/sh
# The stand-ins of review/standins-2 are plain modules that need no compilation; this checks that each can be parsed.
set -e
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/[45678]/run.mjs; do node --check "$file"; done
