#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/steering/endpoint_choice.h"
#include "core/steering/region_split.h"

namespace lycheegap::host {

/// How this host splits one service's requests over the regions.
struct region_routing {
    /// Regions that have endpoints, and this host's own; sorted.
    std::vector<std::string> regions;
    steering::region_split split;
    /// Slot time that this host's requests have used since the last shift of shares, in ms.
    double used_slot_ms{0};
    common::time_point last_shift_at;
};

/// Shared table of the endpoints' state.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::endpoint_table};
    /// Endpoints, by service.
    std::map<std::string, std::vector<steering::endpoint_state>, std::less<>> services;
    /// Split over the regions, by service.
    std::map<std::string, region_routing, std::less<>> regions;
    steering::random_engine random;
};

} // namespace lycheegap::host
