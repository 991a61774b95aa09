#!/bin/sh
# Builds the stand-ins and the checks of all scripts. It needs only the Rust toolchain.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
