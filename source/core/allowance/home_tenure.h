#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/common/clock.h"

namespace lycheegap::allowance {

/// One membership generation as this host knows it, with respect to one team.
struct home_period {
    std::uint64_t generation{0};
    /// This incarnation of the host is the team's home in the generation.
    bool is_home{false};
    /// Every host that may act knows the generation; `accepted_at` is when this host learned that.
    bool accepted{false};
    common::time_point accepted_at;
};

/// Consecutive generations in which one incarnation of a host is a team's home.
struct home_tenure {
    std::uint64_t first_generation{0};
    std::uint64_t last_generation{0};
    /// Time from which the host may hand out the team's tokens.
    common::time_point active_since;
};

/// Current tenure, or empty when this host is not the home or may not act as home yet. `periods` holds the
/// generations that this host has received, oldest first. A gap in the generation numbers ends a tenure,
/// since another host may have been the home in the missing generation.
std::optional<home_tenure> find_tenure(std::span<const home_period> periods);

} // namespace lycheegap::allowance
