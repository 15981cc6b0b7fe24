#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need the compiler only. The entries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/standin review/standin-3/main.rs
