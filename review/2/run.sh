#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/jasminetack-edge ] && [ -x review/build/harness ] || exit 2
review/build/harness late-orders "$here"
code=$?
[ $code -le 1 ] || code=2
exit $code
