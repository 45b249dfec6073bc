#!/usr/bin/env bash
# Runs the case `leavers`: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/berg-front target/release/berg-control target/review-2/stand; do
    if [ ! -x "$program" ]; then
        echo "$program is missing" >&2
        exit 2
    fi
done
exec target/review-2/stand leavers review/6
