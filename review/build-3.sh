#!/bin/bash
# The stand-ins of the cases 11 to 15 are plain modules of Node.js in review/lib-3 and the folders of the cases: nothing has to be compiled.
# Checks that all of them can be read. The project's own program is built by the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
