#!/bin/sh
# The stand-ins in review/shared-2 are plain JavaScript without dependencies: there is nothing to build beside the gateway.
cd "$(dirname "$0")/.." || exit 2
test -f target/chicorysaddle-gateway.mjs
