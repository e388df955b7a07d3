#!/bin/sh
# The stand-ins of the scripts are plain JavaScript in review/lib: they are checked, there is nothing to compile.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
