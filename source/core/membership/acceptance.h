#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "generation.h"

namespace lycheegap::membership {

/// First moment, on this host's clock, at which it heard that an incarnation holds `version`.
struct confirmation {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t version{0};
    common::time_point heard_at;
};

/// How far a version has come.
struct acceptance {
    /// From this moment on no host acts under an older version; the maximum when more confirmations are
    /// needed.
    common::time_point accepted_at{common::time_point::max()};
    /// Names without a confirmation, sorted.
    std::vector<std::string> waiting_for;
};

/// Weighs the confirmations of `version`, which `current` holds or follows. It is accepted once everyone who
/// may count as a member has confirmed, or else `wait` (the length of an authority and the clocks' drift)
/// after at least half of each generation from the floor on has.
acceptance weigh_acceptance(const generation& current, std::uint64_t version,
                            std::span<const confirmation> heard, common::milliseconds wait);

/// The length of an authority as another host's clock may measure it.
common::milliseconds with_drift(common::milliseconds length);

} // namespace lycheegap::membership
