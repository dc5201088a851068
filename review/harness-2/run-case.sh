#!/usr/bin/env bash
# Runs a case of harness-2 in a process group of its own, for 119 s at most, and ends the group.
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] || exit 2
set -m
target/review-2/cases "$1" "$folder/record.txt" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
for ((tenths = 0; tenths < 1190; tenths++)); do
    kill -0 "$group" 2>/dev/null || break
    sleep 0.1
done
kill -0 "$group" 2>/dev/null && exit 2
wait "$group"
