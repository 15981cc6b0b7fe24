#!/bin/sh
# Runs the example `capacity` and its entry processes: measure.sh SIZE ENTRIES SECONDS PORT. Build them first with
#   cargo build --release -p sassafrascrank-daemon --bins --examples
# It stops the entries by their process ids.
set -eu
target=${CARGO_TARGET_DIR:-target}/release
folder=$(mktemp -d)
"$target/examples/capacity" "$1" "$2" "$3" "$folder" "$4" &
measure=$!
while [ ! -e "$folder/ready" ] && kill -0 "$measure"; do sleep 0.2; done
pids=
for settings in "$folder"/*.jsonc; do
    "$target/sassafrascrankd" --settings "$settings" >"$settings.log" 2>&1 &
    pids="$pids $!"
done
printf '%s\n' $pids >"$folder/pids.new"
mv "$folder/pids.new" "$folder/pids"
wait "$measure" || echo "the measurement failed; see $folder"
kill -TERM $pids
wait
rm -r "$folder"
