#!/bin/sh
# The stand-ins of these cases are plain JavaScript on Node.js alone: nothing has to be compiled. Checks that they can be read.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs */case.mjs; do node --check "$file" || exit 1; done
