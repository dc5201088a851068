#!/bin/sh
# The leading core stands still; a client leaves without an answer and cancels its job.
# Exit 1: the rule was broken. 0: it held. 2: the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
"$root/target/review-3/ghost" "$root/target/release/skylarkwinch" "$folder" "$here/record.txt"
