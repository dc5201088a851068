#!/bin/sh
# One job of 20,000 small work units, on machines whose memory has a bound.
# Exit 1: the rule was broken. 0: it held. 2: the case could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$here/../.."
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
"$root/target/review-3/crowd" "$root/target/release/skylarkwinch" "$folder" "$here/record.txt" one
