#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. With TROUBLE=0, without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-standins
[ -x "$program" ] || { echo "$program is missing: run review/build.sh" >&2; exit 2; }
exec "$program" withdrawn review/3
