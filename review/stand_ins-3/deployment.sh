# Sourced by the scripts of the cases: a small deployment on loopback addresses. The settings of an entry host are
# rendered from the template of the deploy file. Call `start_store`, `start_worker` and `start_front`.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
tools=$root/target/review-3/bin
front=$root/target/bin/lycheegap_platformd
folder=$(mktemp -d)
record=$here/record.txt
trouble=${TROUBLE:-1}
# A random loopback network, so that the ports are free.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
store=$network.1:7000
ids=()

for program in "$tools/platform_store_stand_in" "$tools/platform_endpoint_stand_in" "$front"; do
    [ -x "$program" ] || { echo "missing: ${program##*/}" >&2; exit 2; }
done

end_all() {
    for id in "${ids[@]}"; do kill -9 "$id" 2>/dev/null; done
    for id in "${ids[@]}"; do wait "$id" 2>/dev/null; done
    rm -rf "$folder"
}
trap end_all EXIT

start_store() {
    "$tools/platform_store_stand_in" --address "$network.1" --port 7000 >"$folder/store.log" 2>&1 &
    ids+=($!)
}

start_worker() { # start_worker ID SERVICE ADDRESS ZONE MORE...
    "$tools/platform_endpoint_stand_in" --id "$1" --service "$2" --address "$3" --zone "$4" --store "$store" "${@:5}" \
        >"$folder/worker-$1.log" 2>&1 &
    ids+=($!)
}

# Values of the settings that a case may change before `start_front`.
memory_mb=182
max_fds=2870
grace_s=6

start_front() { # start_front NAME IP ZONE
    sed -e "s/{{node}}/$1/; s/{{ip}}:{{internal_ports.1}}/$2:7575/; s/{{ip}}/$2/; s/{{region}}/vestkyst/; s/{{zone}}/$3/" \
        -e "s/{{listen.front}}/$2:8388/; s/{{listen.ready}}/$2:8384/; s/{{listen.directory}}/$2:8383/" \
        -e "s/{{internal_ports.0}}/7560/; s/{{provider.address}}/$store/; s/{{provider.min_ttl_s}}/1/" \
        -e "s|{{#zones}}.*{{/zones}}|vk-hvide:vestkyst,vk-esbjerg:vestkyst|" \
        -e "s/{{limits.cpu_share}}/0.14/; s/{{limits.memory_mb}}/$memory_mb/; s/{{limits.max_fds}}/$max_fds/" \
        -e "s/{{limits.link_mbps}}/700/; s/{{bounds.config_apply_s}}/2.5/; s/{{bounds.drain_s}}/2.5/" \
        -e "s/{{bounds.grace_s}}/$grace_s/; s/{{bounds.stable_window_s}}/4/; s/{{bounds.reuse_after_s}}/2/" \
        -e "s/{{bounds.ttl_max_s}}/5/; s/{{bounds.retry_budget_ratio}}/0.2/; s/{{bounds.budget_window_s}}/10/" \
        -e "s/{{bounds.budget_slack}}/133/; s/{{bounds.quota_window_s}}/5/; s/{{bounds.quota_overage}}/0.1/" \
        -e "s/{{bounds.quota_slack}}/20/; s/{{bounds.cold_overage}}/1.5/; s/{{bounds.cold_slack}}/5/" \
        -e "s/{{bounds.evacuation_s}}/5/; s/{{bounds.max_shift}}/0.15/" \
        "$root/deploy/settings.ini" >"$folder/$1.ini"
    "$front" --check-settings "$folder/$1.ini" >"$folder/check.log" 2>&1 || { cat "$folder/check.log" >&2; exit 2; }
    "$front" --settings "$folder/$1.ini" >"$folder/$1.log" 2>&1 &
    front_id=$!
    ids+=("$front_id")
}
