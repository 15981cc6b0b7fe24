#!/usr/bin/env bash
# Plays the case "lost-runner" on entries that run as processes of their own. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
clean() {
    kill "$player" 2>/dev/null && wait "$player"
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < <(cat "$folder/pids" 2>/dev/null)
    rm -rf "$folder"
}
export TROUBLE="${TROUBLE:-1}"
timeout --foreground -k 5 110 target/review/standin lost-runner target/release/sassafrascrankd "$folder" review/3/record.txt &
player=$!
trap clean EXIT
trap 'exit 2' INT TERM
wait "$player"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
