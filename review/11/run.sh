#!/usr/bin/env bash
# Starts three gateways and a group whose commits wait for one replica; see claim.txt.
cd "$(dirname "$0")/../.." && exec node review/11/run.js
