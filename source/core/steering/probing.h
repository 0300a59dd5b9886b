#pragma once

#include <cstdint>
#include <string_view>

#include "core/common/clock.h"
#include "core/membership/generation.h"

namespace lycheegap::steering {

/// Rank of a host among the members that may probe the endpoint (rendezvous hashing), 0 for the first.
/// Leaving members are not ranked. The number of members if the host itself is leaving or no member.
std::size_t prober_rank(std::string_view endpoint_address, std::string_view host,
                        const membership::generation& current);

/// Whether a host with this rank should probe the endpoint and share its load report now. Rank 0 does so one
/// interval after `last_shared_at`, when a report was last shared among the hosts; each further rank waits
/// one interval more, and so takes over when the hosts before it fail to share one.
bool is_probe_due(std::size_t rank, common::time_point last_shared_at, common::milliseconds interval,
                  common::time_point now);

} // namespace lycheegap::steering
