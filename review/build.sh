#!/bin/sh
# Builds what the scripts of this folder start beside the product, which the deploy file's build makes. The stand-ins and
# the scripts are plain JavaScript modules for Node.js 20, so they are only checked here.
cd "$(dirname "$0")/.." || exit 2
for file in review/*.mjs review/*/*.mjs; do
    node --check "$file" || exit 1
done
