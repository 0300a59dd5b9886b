# Sourced by the scripts: the settings of hosts, rendered from deploy/settings.ini as the platform does it, with the
# bounds of the site censo-dap and a network of loopback addresses of this run's own.

network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
store=$network.1:8382
zones=(liberia-a heredia-a limon-a)
regions=(pacifico-norte valle-central caribe-sur)

render() { # render N FOLDER [STORE]: writes the settings of the host number N (0, 1, ..) to FOLDER/host-N.ini
    local n=$1 folder=$2 store=${3:-$store} z=$(($1 % 3)) ip
    ip=$network.$((10 + n))
    sed -E -e "s/\{\{node\}\}/front-${zones[z]}-$n/; s/\{\{ip\}\}/$ip/g; s/\{\{region\}\}/${regions[z]}/; s/\{\{zone\}\}/${zones[z]}/" \
        -e "s/\{\{listen.front\}\}/$ip:8388/; s/\{\{listen.ready\}\}/$ip:8384/; s/\{\{listen.directory\}\}/$ip:8383/" \
        -e "s/\{\{internal_ports.0\}\}/7560/; s/\{\{internal_ports.1\}\}/7575/" \
        -e "s/^domains = .*/domains = liberia-a:pacifico-norte,heredia-a:valle-central,limon-a:caribe-sur/" \
        -e "s/\{\{provider.address\}\}/$store/; s/\{\{provider.min_ttl_s\}\}/1/" \
        -e "s/\{\{limits.cpu_share\}\}/0.14/; s/\{\{limits.memory_mb\}\}/182/; s/\{\{limits.max_fds\}\}/2870/; s/\{\{limits.link_mbps\}\}/700.0/" \
        -e "s/\{\{bounds.config_apply_s\}\}/2.5/; s/\{\{bounds.drain_s\}\}/2.5/; s/\{\{bounds.grace_s\}\}/6/; s/\{\{bounds.stable_window_s\}\}/3/" \
        -e "s/\{\{bounds.reuse_after_s\}\}/2/; s/\{\{bounds.ttl_max_s\}\}/5/; s/\{\{bounds.retry_budget_ratio\}\}/0.2/; s/\{\{bounds.budget_window_s\}\}/10/" \
        -e "s/\{\{bounds.budget_slack\}\}/124/; s/\{\{bounds.quota_window_s\}\}/5/; s/\{\{bounds.quota_overage\}\}/0.1/; s/\{\{bounds.quota_slack\}\}/20/" \
        -e "s/\{\{bounds.cold_overage\}\}/1.5/; s/\{\{bounds.cold_slack\}\}/5/; s/\{\{bounds.evacuation_s\}\}/5/" \
        deploy/settings.ini >"$folder/host-$n.ini"
    ! grep -q '{{' "$folder/host-$n.ini"
}
