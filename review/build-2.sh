#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. Needs the toolchain alone, no crate and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/cases review/harness-2/main.rs
