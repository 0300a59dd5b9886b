#include "in_force.h"

#include <algorithm>

namespace lycheegap::catalog {

namespace {

void keep_common(std::vector<std::string>& values, const std::vector<std::string>& others) {
    std::erase_if(values, [&](const std::string& it) {
        return std::find(others.begin(), others.end(), it) == others.end();
    });
}

void narrow_team(team& target, const team& accepted) {
    target.rate = std::min(target.rate, accepted.rate);
    target.burst = std::min(target.burst, accepted.burst);
    keep_common(target.key_digests, accepted.key_digests);
    keep_common(target.services, accepted.services);
}

} // namespace

configuration restrict_to_accepted(const configuration& accepted, const configuration& latest) {
    auto result = latest;
    std::erase_if(result.teams, [&](const auto& it) { return !accepted.teams.contains(it.first); });
    for (auto& [name, it] : result.teams) {
        narrow_team(it, accepted.teams.find(name)->second);
    }
    index_keys(result);
    return result;
}

void exclude_keys(configuration& config, const std::set<std::string>& withdrawn_digests) {
    for (const auto& it : withdrawn_digests) {
        config.team_by_digest.erase(it);
    }
}

} // namespace lycheegap::catalog
