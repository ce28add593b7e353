#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain scripts of Node.js without dependencies: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for script in ./*-3.js ./1[1-5]/*.js; do
	[ -e "$script" ] && node --check "$script"
done
