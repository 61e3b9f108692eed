#!/bin/sh
# Builds what the scripts of review/6 and on start besides the product: their
# stand-ins need only Python's standard library.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins2
