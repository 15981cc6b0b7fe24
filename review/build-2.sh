#!/bin/sh
# Builds the stand-in that the scripts of review/6 and later start: the platform's store and host service, the runners and
# the clients in one program, without any dependency. The deploy file's build comes before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/site review/standin-2/site.rs
