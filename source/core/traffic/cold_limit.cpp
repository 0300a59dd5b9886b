#include "cold_limit.h"

#include <algorithm>
#include <cmath>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Hosts that may use one cold endpoint; more would leave each less than one request a second.
constexpr std::size_t cold_hosts = 2;
// Part of the limit that is shared out. The rest is for hosts that learn late that an endpoint is cold.
constexpr double cold_use = 0.6;
// News reach all hosts within a second of each other while the store is slow, and what was sent before counts
// for one second more.
constexpr common::milliseconds cold_settling{2000};
// An entry that is told again differs by its way here. One that ends later than this tells of another cold
// time.
constexpr common::milliseconds cold_jitter{1000};

std::size_t sharers_of(double limit) {
    return std::clamp<std::size_t>(static_cast<std::size_t>(limit * cold_use), 1, cold_hosts);
}

} // namespace

void note_cold(cold_belief& known, common::time_point until, cold_source source, std::uint64_t revision,
               common::time_point now, bool in_use) {
    if (until <= now) {
        return;
    }
    if (known.until <= now || until > known.until + cold_jitter) {
        known.usable_from = in_use ? now + cold_settling : now;
    }
    known.until = std::max(known.until, until);
    known.source = source;
    known.told_at = now;
    known.revision = revision;
}

double cold_share(double limit) {
    const double share = limit * cold_use / static_cast<double>(sharers_of(limit));
    // One request is the least that can be sent.
    return share >= 1 || limit < 1 ? std::floor(share) : 1;
}

bool has_cold_share(const fleet_knowledge& knowledge, std::string_view endpoint_id, double limit,
                    common::time_point now) {
    const auto* fleet = knowledge.fleet;
    if (fleet == nullptr || now >= knowledge.valid_until || !fleet->member_since ||
        now < *fleet->member_since + handover_time) {
        return false;
    }
    const auto seed = common::stable_hash(endpoint_id);
    const auto own = common::stable_hash(knowledge.host, seed);
    const auto goes_before = [&](std::string_view name) {
        return name != knowledge.host && common::stable_hash(name, seed) > own;
    };
    const auto members = std::count_if(fleet->names.begin(), fleet->names.end(), goes_before);
    const auto former = std::count_if(fleet->former.begin(), fleet->former.end(), [&](const auto& it) {
        return now < it.left_at + handover_time && goes_before(it.name);
    });
    return static_cast<std::size_t>(members + former) < sharers_of(limit);
}

std::string_view source_name(cold_source source) {
    switch (source) {
    case cold_source::entry:
        return "entry";
    case cold_source::vacated:
        return "vacated";
    case cold_source::domain:
        return "domain";
    case cold_source::none:
        break;
    }
    return "none";
}

} // namespace lycheegap::traffic
