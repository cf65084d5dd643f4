#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript on Node.js without dependencies: nothing is compiled, their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
echo 'review: stand-ins checked'
