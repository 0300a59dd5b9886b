#include "load_sharing.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/common/digest.h"
#include "remaining_work.h"

namespace lycheegap::traffic {

namespace {

// Each host begins exchanges with this many partners and is a partner of about as many, which bounds its
// messages at any size of the fleet.
constexpr std::size_t partner_count = 4;

bool is_outdated(const shared_load& it, common::time_point now) {
    return it.at + max_shared_load_age < now;
}

} // namespace

std::uint64_t load_key(const endpoint_entry& entry) {
    return common::stable_hash(entry.id, static_cast<std::uint64_t>(entry.started_unix_ms));
}

void note_own_load(load_log& log, const shared_load& received) {
    if (log.latest.size() >= max_kept_loads) {
        std::erase_if(log.latest, [&](const auto& it) { return is_outdated(it.second, received.at); });
    }
    if (log.latest.size() < max_kept_loads || log.latest.contains(received.endpoint)) {
        log.latest[received.endpoint] = received;
    }
}

std::vector<shared_load> loads_since(const load_log& log, common::time_point since, common::time_point now,
                                     std::size_t limit) {
    std::vector<shared_load> found;
    for (const auto& [endpoint, it] : log.latest) {
        if (it.at > since && !is_outdated(it, now)) {
            found.push_back(it);
        }
    }
    const auto count = std::min(limit, found.size());
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
                      [](const shared_load& a, const shared_load& b) { return a.at > b.at; });
    found.resize(count);
    return found;
}

std::vector<std::string> load_partners(const fleet_members& members, std::string_view host) {
    const auto own = members.find(host);
    std::vector<std::pair<std::uint64_t, std::string_view>> ranks;
    if (own == members.end()) {
        return {};
    }
    const auto seed = common::stable_hash(host);
    for (const auto& [name, it] : members) {
        if (name != host && it.region == own->second.region && !it.peer_address.empty()) {
            ranks.emplace_back(common::stable_hash(name, seed), name);
        }
    }
    const auto count = std::min(partner_count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(),
                      std::greater<>());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < count; ++n) {
        names.emplace_back(ranks[n].second);
    }
    return names;
}

std::size_t apply_shared_loads(endpoint_set& set, const std::vector<shared_load>& loads,
                               common::time_point now) {
    std::unordered_map<std::uint64_t, const shared_load*> by_endpoint;
    for (const auto& it : loads) {
        if (!is_outdated(it, now)) {
            by_endpoint[it.endpoint] = &it;
        }
    }
    std::size_t applied = 0;
    for (const auto& [id, endpoint] : set.by_id) {
        const auto found = by_endpoint.find(load_key(endpoint->entry));
        if (found != by_endpoint.end()) {
            auto load = found->second->load;
            load.slots = endpoint->work.reported_slots;
            if (note_shared_load(*endpoint, load, found->second->at)) {
                note_reported_work(*endpoint, load, found->second->at);
                ++applied;
            }
        }
    }
    return applied;
}

} // namespace lycheegap::traffic
