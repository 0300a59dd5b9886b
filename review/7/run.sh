#!/usr/bin/env bash
# Case 7: one spoiled answer of one worker ends every entry host that it reaches.
. "$(dirname "$0")/../stand_ins-2/common.sh"
start_store
start_host 1
start_host 2
run_case "$stand_ins/long_trailer" "$case_folder/record.txt" "$network" "${TROUBLE:-1}" "$state_file" 2
