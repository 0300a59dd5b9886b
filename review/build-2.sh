#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, the project's own store stand-in too, into build-review-2/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-2 -j "$(nproc)" --target platform_store_stand_in >/dev/null
mkdir -p build-review-2/bin
for source in review/{6,7,8,9,10}/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -I review/stand_ins-2 "$source" \
        -o "build-review-2/bin/$(basename "$source" .cpp)"
done
