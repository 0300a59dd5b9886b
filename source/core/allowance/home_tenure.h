#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/common/clock.h"

namespace lycheegap::allowance {

/// One generation as this host knows it, for one team.
struct home_period {
    std::uint64_t generation{0};
    /// This very incarnation is the team's home in it.
    bool is_home{false};
    /// Every host that may act knows the generation; `accepted_at` is when this host learned that.
    bool accepted{false};
    common::time_point accepted_at;
};

/// Generations over which a host is a team's home without a break.
struct home_tenure {
    std::uint64_t first_generation{0};
    std::uint64_t last_generation{0};
    /// From when on the host acts as home.
    common::time_point since;
};

/// The tenure that lasts now, or nothing when this host is not home or may not act as home yet. `periods`
/// holds the generations that this host took, oldest first. A generation that this host missed breaks a
/// tenure: another host may have been home in it.
std::optional<home_tenure> find_tenure(std::span<const home_period> periods);

} // namespace lycheegap::allowance
