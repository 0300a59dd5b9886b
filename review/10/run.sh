#!/usr/bin/env bash
# Case 10: a worker that starts again while the store is down gets more requests than a cold worker may get.
# TROUBLE=2 plays the restart of the worker without the outage; the rule holds then.
site=censo-dap
. "$(dirname "$0")/../stand_ins-2/common.sh"
start_store
start_host 1
start_host 2
run_case "$stand_ins/cold_restart" "$case_folder/record.txt" "$network" "${TROUBLE:-1}" "$state_file"
