#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, into review/build/. Needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/*.cpp; do
    [ -e "$source" ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I. "$source" -o "build/$(basename "${source%.cpp}")"
done
