#include "configuration.h"

#include <algorithm>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Range of route priorities within one team priority.
constexpr int priorities_per_team = 1000;

/// Returns the host name of a Host header without the port.
std::string_view strip_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

} // namespace

const route* find_route(const configuration& config, std::string_view host, std::string_view path) {
    const auto name = strip_port(host);
    const route* found = nullptr;
    for (const auto& it : config.routes) {
        if (it.host != name || !path.starts_with(it.prefix)) {
            continue;
        }
        if (found == nullptr || it.prefix.size() > found->prefix.size()) {
            found = &it;
        }
    }
    return found;
}

const team* find_team(const configuration& config, std::string_view key) {
    const auto found = config.team_of_key.find(common::key_digest(key));
    return found == config.team_of_key.end() ? nullptr : &config.teams[found->second];
}

const service* find_service(const configuration& config, std::string_view name) {
    const auto found = config.services.find(name);
    return found == config.services.end() ? nullptr : &found->second;
}

int priority_rank(const route& target_route, const team* caller_team) {
    const int team_priority = caller_team == nullptr ? 0 : caller_team->priority;
    return team_priority * priorities_per_team + std::min(target_route.priority, priorities_per_team - 1);
}

std::optional<std::vector<std::string>> common_regions(const std::vector<std::string>& a,
                                                       const std::vector<std::string>& b) {
    if (a.empty() || b.empty()) {
        return a.empty() ? b : a;
    }
    std::vector<std::string> both;
    std::copy_if(a.begin(), a.end(), std::back_inserter(both),
                 [&](const std::string& it) { return std::find(b.begin(), b.end(), it) != b.end(); });
    if (both.empty()) {
        return std::nullopt;
    }
    return both;
}

} // namespace lycheegap::traffic
