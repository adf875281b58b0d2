#!/usr/bin/env bash
# MIXED by a failure of a server; see claim.txt. TROUBLE=0: it fails with a status of RFC 9110.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/platform/resident ] || [ ! -x review/build/case-2 ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" | tee review/2/record.txt
    exit 2
fi
timeout --kill-after=2 115 review/build/case-2 review/2/record.txt
case $? in
    1) exit 1 ;;  # the rule was broken: a failure came with the server's seal and another status
    0) exit 0 ;;  # it held: none did
    *) exit 2 ;;  # the case could not run: no failure of a server reached a client; or its time was up
esac
