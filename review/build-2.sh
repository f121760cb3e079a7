#!/bin/sh
# Builds the stand-ins and clients of the cases from 8 on. They use the standard library only, so the
# build needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
