#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, with the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/drill-2 review/standins-2/main.rs
