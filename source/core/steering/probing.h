#pragma once

#include <cstdint>
#include <string_view>

#include "core/common/clock.h"
#include "core/membership/generation.h"

namespace lycheegap::steering {

/// Place of a host in the endpoint's order of probers (rendezvous hashing), 0 the first; members that leave
/// have none. The number of members when it is no member.
std::size_t prober_rank(std::string_view endpoint_address, std::string_view host,
                        const membership::generation& current);

/// Whether this host should probe now. The first prober does so when the last report is one interval old;
/// each next one waits an interval more, so that it takes over when those before it are silent.
bool is_probe_due(std::size_t rank, common::time_point reported_at, common::milliseconds interval,
                  common::time_point now);

} // namespace lycheegap::steering
