#!/bin/sh
# Plays the case "seventeenth-part" and writes record.txt beside this file. Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2/standin2 ] && [ -x target/clovertrail-node ] || { echo "build first: see review/build-2.sh"; exit 2; }
exec target/review2/standin2 case seventeenth-part "review/8/record.txt"
