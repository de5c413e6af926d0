#!/bin/sh
# Builds the stand-ins that the scripts of the folders 4 to 8 start: they are
# plain Python, so it checks that each can be loaded with the libraries that
# the build of the deploy file has made, and with nothing else.
set -e
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH=target/deps:. python3 -c \
    'import standins.silent, standins.store, standins.worker'
PYTHONPATH=target/deps:.:review python3 -c \
    'import deadly_worker, harness, resting_worker, slow_worker'
