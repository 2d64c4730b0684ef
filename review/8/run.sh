#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/8/run.mjs
