#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/8. It needs no network once the modules are in the cache. The scripts also need
# the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/standin2 ./review/_standin2
