#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't
# run; writes record.txt here. TROUBLE=0 leaves the disruption out. Needs the
# build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../../.." || exit 2
rig=review/rig/target/release/rig
[ -x "$rig" ] && [ -x target/release/walnutmoor ] || exit 2
exec "$rig" drain review/more-2/drain
