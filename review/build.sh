#!/bin/sh
# Builds what the scripts start beside the programs of the deploy file. The stand-ins are plain modules, so they are only checked.
cd "$(dirname "$0")" || exit 2
for file in standins/*.mjs [1-3]/run.mjs; do node --check "$file" || exit 1; done
