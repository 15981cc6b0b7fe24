#!/usr/bin/env bash
# Builds the stand-in of all cases. It needs the Rust compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O --crate-name standin -o target/review/standin review/standin/main.rs
