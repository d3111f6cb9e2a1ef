#!/usr/bin/env bash
# Builds the stand-ins of the review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
