#!/bin/sh
# Builds the stand-ins of the scripted cases; the daemon comes from the build of the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/build"
rustc --edition 2024 -O -o "$here/build/harness" "$here/standins/main.rs"
