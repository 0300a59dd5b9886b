# Starts the store's stand-in and entry hosts for a case of the second review, and ends them. Sourced by run.sh.
# Every address is a loopback address of a random network, so that two runs do not meet.
set -u
case_folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
stand_ins=$root/build-review-2/bin
host_program=$root/target/bin/lycheegap_platformd
network=127.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
store_ip=$network.1
store_port=7000
folder=$(mktemp -d)
ids=()
hosts=()

cannot_run() {
    echo "cannot run: $1" >&2
    exit 2
}
end_all() {
    for id in "${ids[@]}"; do kill -CONT "$id" 2>/dev/null; kill -KILL "$id" 2>/dev/null; done
    for id in "${ids[@]}"; do wait "$id" 2>/dev/null; done
    rm -rf "$folder"
}
trap end_all EXIT

[ -x "$host_program" ] || cannot_run "no $host_program: run the build of deploy/system.toml"
[ -x "$stand_ins/platform_store_stand_in" ] || cannot_run "no stand-ins: run review/build-2.sh"

start() { # start LOG PROGRAM ARGUMENTS...
    "$2" "${@:3}" >"$folder/$1.log" 2>&1 &
    ids+=($!)
}

start_store() {
    start store "$stand_ins/platform_store_stand_in" --address "$store_ip" --port "$store_port"
}

start_host() { # start_host NUMBER: settings as deploy/settings.ini renders them for a machine of the site
    local ip=$network.$((10 + $1))
    local processors=0.5 memory=512 descriptors=8192 link=200 applied=3 drain=3 stable=4 retries=253 cold=8
    if [ "${site:-}" = censo-dap ]; then
        processors=0.14 memory=182 descriptors=2870 link=700 applied=2.5 drain=2.5 stable=3 retries=124 cold=5
    fi
    cat >"$folder/host-$1.ini" <<END
[host]
name = front-liberia-a-$1
address = $ip
region = pacifico-norte
failure_domain = liberia-a

[listeners]
requests = $ip:8388
readiness = $ip:8384
lookups = $ip:8383
operators = $ip:7575
peer_port = 7560

[fleet]
domains = liberia-a:pacifico-norte,heredia-a:valle-central,limon-a:caribe-sur
store = $store_ip:$store_port
least_lease = 1

[machine]
processor_share = $processors
memory = $memory
descriptors = $descriptors
link = $link

[bounds]
configuration_time = $applied
drain_time = $drain
stop_time = 6
stable_time = $stable
address_reuse_time = 2
lookup_lifetime = 5
retry_ratio = 0.2
retry_window = 10
retry_slack = $retries
rate_window = 5
rate_overage = 0.1
rate_slack = 20
cold_overage = 1.5
cold_slack = $cold
vacate_time = 5

[process]
log_level = info
END
    "$host_program" --settings "$folder/host-$1.ini" >"$folder/host-$1.log" 2>&1 &
    ids+=($!)
    hosts+=($!)
}

# The desired state: routes of plot-sheet, girth-submit and archive-pull with the times of censo-dap-grown.
desired_state='{"version":7,"resources":[
{"resource_kind":"routes","metadata":{"name":"r-plot"},"spec":{"host":"ficu95.example","prefix":"/plot/","kind":"safe","timeout_s":2.5,"target_latency_s":0.8,"priority":2,"service":"campo","max_attempts":2,"public":false,"session_affinity":true,"allowed_regions":[]}},
{"resource_kind":"routes","metadata":{"name":"r-girth"},"spec":{"host":"ficu95.example","prefix":"/girth/","kind":"unsafe","timeout_s":3,"target_latency_s":1,"priority":1,"service":"campo","max_attempts":2,"public":false,"session_affinity":true,"allowed_regions":[]}},
{"resource_kind":"routes","metadata":{"name":"r-archive"},"spec":{"host":"ficu95.example","prefix":"/archive/","kind":"safe","timeout_s":10,"target_latency_s":3,"priority":2,"service":"consulta","max_attempts":2,"public":false,"session_affinity":true,"allowed_regions":[]}},
{"resource_kind":"services","metadata":{"name":"campo"},"spec":{"health_path":"/health","max_connections":1993,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":4.1}},
{"resource_kind":"services","metadata":{"name":"consulta"},"spec":{"health_path":"/health","max_connections":1993,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":4.1}},
{"resource_kind":"tenants","metadata":{"name":"huka270"},"spec":{"api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1,"rate_per_s":428,"burst":428,"allowed_regions":[]}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]}'
if [ "${site:-}" = censo-dap ]; then
    desired_state=${desired_state//'"cold_per_s":4.1'/'"cold_per_s":17'}
    desired_state=${desired_state//'"timeout_s":2.5,"target_latency_s":0.8'/'"timeout_s":1,"target_latency_s":0.2'}
    desired_state=${desired_state//'"timeout_s":3,"target_latency_s":1'/'"timeout_s":1,"target_latency_s":0.25'}
fi
state_file=$folder/state.json
printf '%s' "$desired_state" >"$state_file"

run_case() { # run_case PROGRAM ARGUMENTS...: runs the client and the workers; ends with their result
    "$@"
    local result=$?
    {
        echo
        for n in "${!hosts[@]}"; do
            if kill -0 "${hosts[n]}" 2>/dev/null; then
                echo "host $((n + 1)): runs at the end of the case"
            else
                wait "${hosts[n]}"
                echo "host $((n + 1)): ended with status $?"
                grep -h "terminate called\|what()" "$folder/host-$((n + 1)).log"
            fi
        done
        echo "result: $result (0 held, 1 broken, 2 could not run)"
    } >>"$case_folder/record.txt"
    tail -n 1 "$case_folder/record.txt"
    exit "$result"
}
