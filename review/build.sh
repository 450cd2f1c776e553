#!/bin/sh
# Builds the stand-ins of the scripts. They are plain Python of this repository's
# review/ folder and use target/deps only, so there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review
