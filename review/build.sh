#!/bin/sh
# Prepares the stand-ins of the cases.  All of them are Python and use only
# its standard library and the libraries of the programs, so the build of the
# deploy file has to have run.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import standins.store"
python3 -m compileall -q standins review
