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

/// One site of callers.
struct client_site {
    std::string name;
    std::string region;
    std::string failure_domain;
};

/// Blocks of clients and the sites they belong to.
struct client_blocks {
    std::vector<client_site> sites;
    steering::block_map map;
};

/// Answers to look-ups under one generation and catalog, as JSON without expiry and ticket. Place 0 is a
/// caller of whom nothing is known; team region 0 is a team without a home.
struct lookup_book {
    std::shared_ptr<const membership::generation> members;
    std::shared_ptr<const catalog::configuration> configuration;
    std::map<std::string, std::size_t, std::less<>> place_by_domain;
    std::map<std::string, std::size_t, std::less<>> place_by_region;
    std::map<std::string, std::size_t, std::less<>> team_regions;
    /// Team region of each team's home host.
    std::map<std::string, std::size_t, std::less<>> region_by_team;
    /// By place, then by team region, then one for each seed.
    std::vector<std::vector<std::vector<std::string>>> answers;
};

/// Shared table of look-up answers and client blocks.
struct lookup_table {
    common::ranked_mutex mutex{common::lock_rank::lookup_table};
    /// Never null; readers keep the pointer and not the lock.
    std::shared_ptr<const lookup_book> book{std::make_shared<lookup_book>()};
    std::shared_ptr<const client_blocks> blocks{std::make_shared<client_blocks>()};
};

/// All answers under a generation and a catalog.
lookup_book make_lookup_book(std::shared_ptr<const membership::generation> members,
                             std::shared_ptr<const catalog::configuration> configuration);

/// JSON without expiry and ticket for a caller; empty names are unknown. Empty when there are no members.
std::string_view find_answer(const lookup_book& book, std::string_view region,
                             std::string_view failure_domain, std::string_view team, std::uint64_t seed);

} // namespace lycheegap::host
