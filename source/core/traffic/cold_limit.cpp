#include "cold_limit.h"

#include <algorithm>
#include <cmath>

namespace lycheegap::traffic {

namespace {

// Hosts that may use one cold endpoint. With more, the share of each would fall below one request per second.
constexpr std::size_t max_sharing_hosts = 2;
// Fraction of the limit that is divided into shares. The rest covers requests from hosts that learn late that
// the endpoint is cold.
constexpr double shared_limit_fraction = 0.6;
// While the store is slow, updates reach the hosts up to one second apart, and requests sent before that
// count for one more second.
constexpr common::milliseconds cold_propagation_time{2000};
// The end of a cold time is computed on receipt, so it varies with the delay of the update. An end that is
// later by more than this belongs to a new cold time.
constexpr common::milliseconds cold_end_tolerance{1000};

/// Number of hosts that share the limit of one cold endpoint.
std::size_t sharing_hosts_for(double limit) {
    return std::clamp<std::size_t>(static_cast<std::size_t>(limit * shared_limit_fraction), 1,
                                   max_sharing_hosts);
}

} // namespace

void note_cold(cold_state& cold, common::time_point until, cold_source source, std::uint64_t revision,
               common::time_point now, bool in_use) {
    if (until <= now) {
        return;
    }
    if (cold.until <= now || until > cold.until + cold_end_tolerance) {
        cold.usable_from = in_use ? now + cold_propagation_time : now;
    }
    cold.until = std::max(cold.until, until);
    cold.source = source;
    cold.updated_at = now;
    cold.revision = revision;
}

double cold_share(double limit) {
    const double share = limit * shared_limit_fraction / static_cast<double>(sharing_hosts_for(limit));
    // A share below one request would let no host send any.
    return share >= 1 || limit < 1 ? std::floor(share) : 1;
}

bool has_cold_share(const membership_knowledge& knowledge, std::string_view endpoint_id, double limit,
                    common::time_point now) {
    return has_share(knowledge, endpoint_id, sharing_hosts_for(limit), now);
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
