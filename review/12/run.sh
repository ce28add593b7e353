#!/usr/bin/env bash
# Starts three gateways, replaces two instances, and cuts the holder of the duty from the platform; see claim.txt.
cd "$(dirname "$0")/../.." && exec node review/12/run.js
