#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/common/ranked_mutex.h"
#include "core/membership/generation.h"
#include "core/steering/block_map.h"

namespace lycheegap::host {

/// A site of callers and the region and failure domain that it belongs to.
struct client_site {
    std::string name;
    std::string region;
    std::string failure_domain;
};

/// Address blocks of clients and the sites that they belong to.
struct client_blocks {
    std::vector<client_site> sites;
    steering::block_map map;
};

/// Prepared answers to look-ups for one generation and catalog, as JSON without expiry and ticket. Place 0
/// stands for callers whose place is unknown, team region 0 for teams without a home.
struct lookup_cache {
    std::shared_ptr<const membership::generation> members;
    std::shared_ptr<const catalog::configuration> configuration;
    /// Numbers of the places, by failure domain and by region.
    std::map<std::string, std::size_t, std::less<>> place_by_domain;
    std::map<std::string, std::size_t, std::less<>> place_by_region;
    /// Numbers of the team regions, by region.
    std::map<std::string, std::size_t, std::less<>> team_regions;
    /// Number of the team region of each team's home, by team.
    std::map<std::string, std::size_t, std::less<>> region_by_team;
    /// Indexed by place, team region and seed.
    std::vector<std::vector<std::vector<std::string>>> answers;
};

/// Shared table of prepared look-up answers and client blocks.
struct lookup_table {
    common::ranked_mutex mutex{common::lock_rank::lookup_table};
    /// Never null; readers copy the pointer and release the lock.
    std::shared_ptr<const lookup_cache> cache{std::make_shared<lookup_cache>()};
    std::shared_ptr<const client_blocks> blocks{std::make_shared<client_blocks>()};
};

/// Prepares all answers for a generation and a catalog.
lookup_cache make_lookup_cache(std::shared_ptr<const membership::generation> members,
                               std::shared_ptr<const catalog::configuration> configuration);

/// Prepared answer for a caller, without expiry and ticket; names may be empty or unknown. `seed` spreads
/// callers over the hosts. Empty when there are no members.
std::string_view find_answer(const lookup_cache& cache, std::string_view region,
                             std::string_view failure_domain, std::string_view team, std::uint64_t seed);

} // namespace lycheegap::host
