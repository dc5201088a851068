#!/usr/bin/env bash
# Runs a case of harness-2, `run-case.sh NAME RECORD`, in a process group of its own, for 119 s at
# most, and ends the group.
record=$(cd "$(dirname "$2")" && pwd)/$(basename "$2")
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/cases ]; then
    echo "not built: run review/build-2.sh" | tee "$record"
    exit 2
fi
set -m
target/review-2/cases "$1" "$record" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
for ((tenths = 0; tenths < 1190; tenths++)); do
    kill -0 "$group" 2>/dev/null || break
    sleep 0.1
done
kill -0 "$group" 2>/dev/null && exit 2
wait "$group"
