#!/usr/bin/env bash
# The one test command: format, build, lints, tests. Seeds are fixed and ports are found free.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo build --workspace --locked
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
