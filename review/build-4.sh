#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/15 on; they have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standins-4"
mkdir -p build
rustc --edition 2024 -O -o build/standin-drill.new main.rs
mv build/standin-drill.new build/standin-drill
