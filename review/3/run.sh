#!/usr/bin/env bash
# The store turns one of three hosts away for 9 s; a tenant asks for more than its quota when it is back. TROUBLE=0: the
# store turns nobody away.
set -euo pipefail
cd "$(dirname "$0")/../.."
program=target/bin/lycheegap_platformd
driver=review/build/returning_host
{ [ -x "$program" ] && [ -x "$driver" ]; } || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
. review/stand_ins/settings.sh
for n in 0 1 2; do
    # Each host has an address of the store of its own, so that the stand-in knows who calls.
    render "$n" "$folder" "$network.$((100 + n)):8382" || exit 2
    "$program" --check-settings "$folder/host-$n.ini" >/dev/null || exit 2
done
code=0
"$driver" "$program" "$folder" "$network" review/3/record.txt "${TROUBLE:-1}" || code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
