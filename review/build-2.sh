#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 6 start, into target/review-2. Needs the Rust toolchain only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/replaced-core review/stand-ins-2/replaced_core.rs
rustc --edition 2024 -O -o target/review-2/slow-list review/stand-ins-2/slow_list.rs
rustc --edition 2024 -O -o target/review-2/cut-list review/stand-ins-2/cut_list.rs
