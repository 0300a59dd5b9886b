#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start, besides the program of the deploy file, into target/review-3/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=target/review-3
cmake -S . -B "$folder" -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-w >/dev/null
cmake --build "$folder" -j8 --target platform_store_stand_in platform_endpoint_stand_in >/dev/null
mkdir -p "$folder/bin"
for source in review/1[1-5]/*.cpp; do
    name=${source##*/}
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "$folder/bin/${name%.cpp}"
done
