#!/usr/bin/env bash
# Builds the test programs of review/11 and up, or only that of one folder, into target/review-3.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-3
for folder in "${@:-$PWD/1[1-9]}"; do
    for source in $folder/*.cpp; do
        [ -e "$source" ] || continue
        name=$(basename "$(dirname "$source")")
        program=../target/review-3/$name
        if [ ! -e "$program" ] || [ "$source" -nt "$program" ] || [ stand_ins-3/sim.h -nt "$program" ]; then
            g++ -std=c++20 -O1 -pthread -DCASE_FOLDER="\"$(cd "$(dirname "$source")" && pwd)\"" "$source" -o "$program"
        fi
    done
done
