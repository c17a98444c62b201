#!/bin/bash
# Builds the stand-ins of the second review's scripts (review/4, 5 and 6). They
# have no dependencies, so this needs no network. The nodes are built by the
# deploy file.
set -e
cd "$(dirname "$0")/rig"
cargo build --release --offline
