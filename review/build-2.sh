#!/bin/bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python
# and use the standard library only, so they are compiled to show that they
# can be read. Run it after `platform/build`.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/tests/*.py review/[4-8]/tests/*.py
