#!/bin/sh
# Builds the stand-ins and clients of the cases in review/11 and later. It needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-3/Cargo.toml --target-dir target/review-3
