#!/bin/sh
# The stand-ins in review/6/stand-ins are plain JavaScript without dependencies: there is nothing to build beside the gateway.
cd "$(dirname "$0")/.." || exit 2
test -f target/chicorysaddle-gateway.mjs
