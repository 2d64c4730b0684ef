#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/5/run.mjs
