#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules for Node.js in `review/lib-2/`, which need no build.
cd "$(dirname "$0")" && for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do node --check "$file" || exit 1; done
