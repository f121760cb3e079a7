#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start besides the program of deploy/system.toml: the
# clients, and this project's stand-ins for the store and the workers.
set -eu
cd "$(dirname "$0")/harness-3"
cargo build --release --locked
