#include "configuration.h"

#include <algorithm>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

constexpr int route_priorities = 1000;

/// Host of a header without its port.
std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

} // namespace

const route* find_route(const configuration& config, std::string_view host, std::string_view path) {
    const auto name = without_port(host);
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

int urgency_of(const route& to, const team* from) {
    const int first = from == nullptr ? 0 : from->priority;
    return first * route_priorities + std::min(to.priority, route_priorities - 1);
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
