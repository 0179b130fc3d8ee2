#!/bin/sh
# Case 8 of the review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/lilacspindled target/review-2/drill-2; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
exec target/review-2/drill-2 cut-event review/8/record.txt
