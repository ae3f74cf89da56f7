#!/usr/bin/env bash
# The stand-ins are Python of this repository, without dependencies: nothing
# has to be built. This only shows that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q tests review
