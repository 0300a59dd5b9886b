#pragma once

#include <string_view>

#include "core/membership/generation.h"

namespace lycheegap::allowance {

/// The member that holds the team's bucket in this generation, or null when there are no members. The same
/// on every host (rendezvous hashing); a change of members moves only the teams of the hosts that changed.
const membership::member* home_of(std::string_view team, const membership::generation& current);

} // namespace lycheegap::allowance
