#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
standin=review/standins-4/build/standin-drill
[ -x "$standin" ] || review/build-4.sh || exit 2
[ -x target/release/jasminetack-edge ] || { echo "target/release/jasminetack-edge is missing"; exit 2; }
TROUBLE="${TROUBLE:-1}" "$standin" configuration review/16
