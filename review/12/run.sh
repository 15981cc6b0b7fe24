#!/usr/bin/env bash
# Plays the case with three entries and the stand-ins of review/standin-3, and writes record.txt beside this file.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not be played. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
for file in target/release/sassafrascrankd target/review-3/standin; do
    if [[ ! -x $file ]]; then
        echo "$file is missing: run the build of deploy/system.toml and review/build-3.sh" >&2
        exit 2
    fi
done
temporary=$(mktemp -d) || exit 2
child=
# Ends the stand-in and the entries that it started, all by their ids.
finish() {
    [[ -n $child ]] && kill -KILL "$child" 2>/dev/null
    for list in "$temporary"/*/pids; do
        [[ -f $list ]] || continue
        while read -r pid; do
            kill -KILL "$pid" 2>/dev/null
        done <"$list"
    done
    rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
rm -f "$folder/record.txt"
TMPDIR=$temporary target/review-3/standin late "$folder" "${TROUBLE:-1}" &
child=$!
wait "$child"
code=$?
child=
((code <= 1)) || code=2
exit "$code"
