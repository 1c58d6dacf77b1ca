#!/bin/sh
# Builds the stand-ins of the cases 11, 12 and 13 with the toolchain alone.
set -e
cd "$(dirname "$0")"
mkdir -p build
rustc --edition 2024 -O standins-3/main.rs -o build/standins-3
