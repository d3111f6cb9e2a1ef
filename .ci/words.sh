#!/usr/bin/env bash
# Names of the platform's protocol may stand only in platform/, in the deploy folder and
# in documents: everywhere else the code uses the project's own words.
set -euo pipefail
cd "$(dirname "$0")/.."
words='Store-Era|Server-Stamp|Expect-Instance|Not-Executed|Server-Load|Server-Limit|Server-Leaving|Instance-Id|At-Server|Prompt-Prefix|Token-Count|Length-Hint|Weight-Versions|Expect-Version|Request-Priority|Deadline-Ms|currentRev|createdRev|expectedRev|afterRev|allowStale|tombstone|coldLeftMs|targetVersion|pathPrefix|sloMs|gapAimMs|timeoutMs|maxAttempts|healthPath|maxConns|apiKeys|kvUsed|kvTotal|expertMb|expertShare|/-/objects|/-/order|/-/report|/-/picked|non_idempotent'
found=$(git grep -nE "$words" -- '*.go' ':!platform/' || true)
[ -z "$found" ] || { echo "names of the platform's protocol outside platform/:"; echo "$found"; exit 1; }
