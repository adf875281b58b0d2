#!/usr/bin/env bash
# MIXED by a failure of a server; see claim.txt. TROUBLE=0: it fails with a status of RFC 9110.
exec "$(dirname "$0")/../common/run.sh" "$(cd "$(dirname "$0")" && pwd)"
