#!/usr/bin/env bash
# Builds the stand-ins of the cases, each one program with the standard library alone. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[0-9]; do
  [ -f "$folder/case.rs" ] || continue
  rustc --edition 2024 -O "$folder/case.rs" -o "target/review/case-$(basename "$folder")"
done
