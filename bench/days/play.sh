#!/usr/bin/env bash
# Plays every day of this folder on the given site files and tells the broken ones:
#   FLEETBENCH=path/to/fleetbench bench/days/play.sh SITE...
# Needs the users' bench; CI does not run it. Exits 1 if a rule was broken.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${FLEETBENCH:?name the program of the users\' bench}"
broken=0
for site in "$@"; do
  for day in bench/days/*.toml; do
    out=$("$FLEETBENCH" run "$site" "$day" --why "own day $(basename "$day" .toml)" 2>&1) || true
    line=$(printf '%s\n' "$out" | grep -E "^$(basename "$day" .toml) " | head -1)
    printf '%s: %s\n' "$(basename "$site" .toml)" "${line:-$(basename "$day"): not played: $(printf '%s\n' "$out" | tail -1)}"
    case "$line" in *BROKEN*|*[Ff]ault*|"") broken=1 ;; esac
  done
done
exit $broken
