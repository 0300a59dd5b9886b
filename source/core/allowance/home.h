#pragma once

#include <string_view>

#include "core/membership/generation.h"

namespace lycheegap::allowance {

/// Home host of a team: the member that owns the team's token bucket in this generation, or null when there
/// are no members. Every host computes the same result (rendezvous hashing); when a host joins or leaves,
/// only the teams whose home is that host move.
const membership::member* find_home(std::string_view team, const membership::generation& current);

} // namespace lycheegap::allowance
