#include "directory.h"

namespace lycheegap::traffic {

namespace {

// Fewer hosts than this leave callers without one when two fail.
constexpr std::size_t enough_hosts = 3;

template <typename Predicate>
std::vector<const fleet_member*> select(const fleet_members& members, Predicate fits) {
    std::vector<const fleet_member*> found;
    for (const auto& [name, it] : members) {
        if (!it.request_address.empty() && fits(it)) {
            found.push_back(&it);
        }
    }
    return found;
}

} // namespace

std::vector<const fleet_member*> hosts_for(const fleet_members& members, std::string_view region,
                                           std::string_view domain, std::size_t limit) {
    auto found = select(members, [&](const fleet_member& it) { return it.domain == domain; });
    if (found.size() < enough_hosts) {
        found = select(members, [&](const fleet_member& it) { return it.region == region; });
    }
    if (found.empty()) {
        found = select(members, [](const fleet_member&) { return true; });
    }
    if (found.size() > limit) {
        found.resize(limit);
    }
    return found;
}

} // namespace lycheegap::traffic
