#include "store_outage.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Witnesses needed; in a small fleet half of the hosts.
constexpr std::size_t max_required_witnesses = 6;

std::size_t required_witnesses(std::size_t members) {
    return std::clamp<std::size_t>(members / 2, 1, max_required_witnesses);
}

} // namespace

void note_witness(outage_evidence& evidence, std::string_view host, common::boot_clock::time_point asked_at) {
    std::erase_if(evidence.witnesses, [&](const outage_witness& it) {
        return it.host == host || it.asked_at + witness_validity < asked_at;
    });
    evidence.witnesses.push_back({std::string(host), asked_at});
}

std::optional<common::boot_clock::time_point>
outage_known_until(const outage_evidence& evidence, std::size_t members, common::boot_clock::time_point now) {
    std::vector<common::boot_clock::time_point> ends;
    for (const auto& it : evidence.witnesses) {
        if (now < it.asked_at + witness_validity) {
            ends.push_back(it.asked_at + witness_validity);
        }
    }
    const auto required = required_witnesses(members);
    if (ends.size() < required) {
        return std::nullopt;
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[required - 1];
}

std::vector<std::string> neighbours_of(const fleet_members& members, std::string_view host) {
    const auto seed = common::stable_hash(host);
    std::vector<std::pair<std::uint64_t, std::string_view>> ranks;
    for (const auto& [name, it] : members) {
        if (name != host && !it.peer_address.empty()) {
            ranks.emplace_back(common::stable_hash(name, seed), name);
        }
    }
    const auto count = std::min(neighbour_count, ranks.size());
    std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(),
                      std::greater<>());
    std::vector<std::string> names;
    for (std::size_t n = 0; n < count; ++n) {
        names.emplace_back(ranks[n].second);
    }
    return names;
}

} // namespace lycheegap::traffic
