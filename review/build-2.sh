#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
