#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/review-standin" ] && [ -x "$root/target/platform" ] || exit 2
exec "$root/target/review-standin" drain "$root" "$PWD"
