#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -D warnings -o target/review-3/harness review/standin-3/main.rs
