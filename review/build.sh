#!/usr/bin/env bash
# Builds the cases' programs, stand-ins included, into review/build/. Needs a C++17 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/case.cpp; do
    number="${source%%/*}"
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -Icommon "$source" -o "build/case-$number"
done
