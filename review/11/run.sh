#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/release/review-case
[ -x "$case" ] && [ -x target/release/clementine-platform ] || exit 2
exec "$case" removed-server review/11/record.txt
