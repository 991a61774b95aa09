#!/usr/bin/env bash
# A configuration leaves out a service that is divided by key, and the next one names it again. Exits with 1 if two servers hold
# the same keys.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-case 6 review/6
