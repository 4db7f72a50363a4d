#!/bin/bash
# Plays the case of a folder with the stand-ins: play-2.sh FOLDER SCENARIO
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/fescuedeck_gateway ] || [ ! -x target/review-2/standin ]; then
    echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
ulimit -n 4200 2>/dev/null
folder=$(mktemp -d) || exit 2
rm -f "$case_folder/record.txt"
timeout -k 2 115 target/review-2/standin "$2" --gateway target/fescuedeck_gateway \
    --folder "$folder" --record "$case_folder/record.txt" --trouble "${TROUBLE:-1}"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then
    echo "logs: $folder"
else
    rm -rf "$folder"
fi
[ $status -le 1 ] || status=2
exit $status
