#!/usr/bin/env bash
# run.sh of each case: starts build/case-N at the repository's root, for 120 seconds at most.
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
here="$1"
number="$(basename "$here")"
cd "$here/../.."
if [ ! -x target/platform/resident ] || [ ! -x "review/build/case-$number" ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" | tee "review/$number/record.txt"
    exit 2
fi
timeout --kill-after=2 115 "review/build/case-$number" "review/$number/record.txt"
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
exit "$code"
