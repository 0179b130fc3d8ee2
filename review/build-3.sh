#!/usr/bin/env bash
# Builds the stand-ins of the third review, which need nothing but Rust's standard library. Run it after
# the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
