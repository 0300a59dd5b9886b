#pragma once

#include <cstddef>
#include <string_view>

#include "fleet_view.h"

namespace lycheegap::traffic {

// An endpoint may limit the requests of the whole fleet. To keep such a limit without messages between hosts
// for each request, only a few hosts share it. All hosts compute the same ones from the membership, and a
// host whose membership view may be out of date has no share.

/// This host's membership view, which decides whether it has a share of an endpoint's limit.
struct membership_knowledge {
    /// Name of this host.
    std::string_view host;
    /// Null if no membership is known.
    const fleet_view* fleet{nullptr};
    /// `membership_validity` after the store last confirmed the membership.
    common::time_point valid_until;
};

/// Whether this host is one of the `sharing` hosts that share an endpoint's limit: those that rank first, by
/// rendezvous hashing, among all hosts that are members or were until recently. It is none while its
/// membership view is not valid, or if it has itself been a member for less than `handover_time`.
bool has_share(const membership_knowledge& knowledge, std::string_view endpoint_id, std::size_t sharing,
               common::time_point now);

} // namespace lycheegap::traffic
