#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out
# the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/deploy/fallwell-platform
standins=target/review-2/release/review-case-2
[ -x "$program" ] && [ -x "$standins" ] || exit 2
exec "$standins" forgotten review/6 "$program"
