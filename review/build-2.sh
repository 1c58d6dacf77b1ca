#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review; they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -D warnings -o target/review-2/standins-2 review/standins-2/main.rs
