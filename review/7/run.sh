#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/site ] && [ -x target/release/sassafrascrankd ] || exit 2
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
player=
clean() {
    [ -n "$player" ] && kill "$player" 2>/dev/null
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap 'clean; exit 2' INT TERM HUP
target/review-2/site crash-loop target/release/sassafrascrankd review/7/record.txt &
player=$!
wait "$player"
code=$?
player=
clean
exit "$code"
