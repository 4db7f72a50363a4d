#!/usr/bin/env bash
# play.sh FOLDER CASE: plays a case with the gateway of the deploy file and writes FOLDER/record.txt.
# Exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
gateway=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$gateway" ] && [ -x target/review/review_case ] || {
    echo "build with the deploy file and review/build.sh first" >&2
    exit 2
}
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 1 115 target/review/review_case "$2" "$gateway" "$work" "$folder/record.txt"
status=$?
cat "$work"/*.log >"$folder/gateway.log" 2>/dev/null
[ "$status" -le 1 ] || status=2
exit "$status"
