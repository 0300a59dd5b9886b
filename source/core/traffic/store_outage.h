#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/clock.h"
#include "directory.h"

namespace lycheegap::traffic {

// While the store confirms nothing to any host, the fleet's members stay as they are: nobody can join, and no
// host can learn that another one has left. A host may then go on using its shares of fleet-wide limits. That
// the store is away for all hosts, and not only for this one, is known from other hosts: each asks a few
// neighbours in turn, and a neighbour with a newer state passes it on. Hosts that left the fleet are asked
// too: one that was only silent may have come back, and then the store serves it and others count on what it
// confirms. They are no witnesses, since a host that was silent has an old state for reasons of its own.

/// How long another host's answer that its state of the store is outdated counts.
inline constexpr common::milliseconds witness_validity{2000};
/// Hosts that a host asks when neither the store nor a relay supplies a current state.
inline constexpr std::size_t neighbour_count = 12;

/// A host that had no current state of the store either.
struct outage_witness {
    std::string host;
    /// When it was asked. On the boot clock, since the machine may be suspended meanwhile.
    common::boot_clock::time_point asked_at;
};

/// What this host knows about an outage of the store from other hosts; one entry for each host.
struct outage_evidence {
    std::vector<outage_witness> witnesses;
};

/// Records a host's answer that its state is outdated.
void note_witness(outage_evidence& evidence, std::string_view host, common::boot_clock::time_point asked_at);

/// Time until which enough hosts are known to have no current state; empty if they are too few at `now`.
/// `members` is the number of hosts of the fleet.
std::optional<common::boot_clock::time_point>
outage_known_until(const outage_evidence& evidence, std::size_t members, common::boot_clock::time_point now);

/// Names of the hosts that `host` asks, by rendezvous hashing: each host asks, and is asked by, about
/// `neighbour_count` others, however large the fleet is.
std::vector<std::string> neighbours_of(const fleet_members& members, std::string_view host);

} // namespace lycheegap::traffic
