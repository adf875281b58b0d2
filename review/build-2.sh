#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the program of the deploy file: one program a case,
# which holds its stand-ins. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
    if [ ! -f "review/$n/case.cpp" ]; then continue; fi
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$n" "review/$n/case.cpp"
done
