#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/site ] && [ -x target/release/sassafrascrankd ] || exit 2
exec target/review-2/site past-schedule target/release/sassafrascrankd review/6/record.txt
