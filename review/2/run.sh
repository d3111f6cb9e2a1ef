#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/clovertrail-node ] || { echo "target/clovertrail-node is missing: run the build of deploy/system.toml" >&2; exit 2; }
review/build.sh || exit 2
exec target/review-standin stop review/2
