#!/bin/sh
# The stand-ins of the cases 4 and later are JavaScript modules in review/lib-2, which Node runs
# directly: there is nothing to compile. This checks that all of them can be loaded.
cd "$(dirname "$0")" || exit 1
for file in lib-2/*.mjs [4-9]/*.mjs; do
  ../node_modules/.bin/node --check "$file" || exit 1
done
