#!/bin/sh
# Builds what the scripts of the cases start. The gateway comes from the build of deploy/system.toml; the stand-ins are plain JavaScript and are only checked.
set -e
cd "$(dirname "$0")"
for file in *.js [1-5]/run.mjs; do
	node --check "$file"
done
