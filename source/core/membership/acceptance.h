#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "generation.h"

namespace lycheegap::membership {

/// Records that an incarnation knows `version`.
struct confirmation {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t version{0};
    /// When this host first learned that, on its own clock.
    common::time_point heard_at;
};

/// Progress of a version towards acceptance by all hosts.
struct acceptance {
    /// From this moment on no host acts under an older version; the maximum while more confirmations are
    /// needed.
    common::time_point accepted_at{common::time_point::max()};
    /// Sorted names of the hosts that have not confirmed.
    std::vector<std::string> waiting_for;
};

/// When `version` of the control state is accepted, judged by the confirmations so far, of which those of
/// later versions count too. `current`: the generation of that or a later version. It is accepted as soon as
/// every incarnation that some host may still count as a member has confirmed; otherwise `lease_wait` (the
/// longest time an authority lasts, clock drift included) after at least half of the members of each
/// generation from the floor on have.
acceptance evaluate_acceptance(const generation& current, std::uint64_t version,
                               std::span<const confirmation> confirmations, common::milliseconds lease_wait);

/// The longest time that another host's clock may show for `length`, with the largest assumed drift.
common::milliseconds add_clock_drift(common::milliseconds length);

} // namespace lycheegap::membership
