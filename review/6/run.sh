#!/usr/bin/env bash
# Clients that read slowly download an archive. Exits with 1 if one of them gets a success with another body than the server's.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-case 6 review/6
