#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "directory.h"
#include "endpoint_set.h"

namespace lycheegap::traffic {

// A host sees the load of an endpoint only in answers to its own requests. In a large fleet these are few for
// each endpoint, so hosts of a region pass the reports that they received on to each other.

/// Interval between two exchanges with the same partner.
inline constexpr common::milliseconds load_exchange_interval{500};
/// Reports older than this are neither passed on nor applied.
inline constexpr common::milliseconds max_shared_load_age{2000};
/// Reports in one message, except in the answer to a host that has just started.
inline constexpr std::size_t max_loads_per_message = 16;
/// Reports in the answer to a host that has just started.
inline constexpr std::size_t max_loads_at_start = 512;
/// Reports that a host keeps for others.
inline constexpr std::size_t max_kept_loads = 4096;

/// Identifies one start of an endpoint in messages between hosts.
std::uint64_t load_key(const endpoint_entry& entry);

/// An endpoint's load report, with the time of its arrival at the host that received it.
struct shared_load {
    std::uint64_t endpoint{0};
    load_report load;
    common::time_point at;
};

/// The latest report of each endpoint that this host received itself. Reports of other hosts are not kept, so
/// that none is passed on twice.
struct load_log {
    std::unordered_map<std::uint64_t, shared_load> latest;
};

/// Keeps a report. Drops outdated ones when the log is full.
void note_own_load(load_log& log, const shared_load& received);

/// Reports that arrived after `since` and are not outdated, the latest first, at most `limit`.
std::vector<shared_load> loads_since(const load_log& log, common::time_point since, common::time_point now,
                                     std::size_t limit);

/// Names of the hosts with which `host` begins exchanges: of its region, by rendezvous hashing. About as many
/// others begin one with it.
std::vector<std::string> load_partners(const fleet_members& members, std::string_view host);

/// Applies reports of another host to the endpoints that they name. Ignores unknown endpoints, outdated
/// reports, and those that arrived before this host's own last report. Returns the number of applied ones.
std::size_t apply_shared_loads(endpoint_set& set, const std::vector<shared_load>& loads,
                               common::time_point now);

} // namespace lycheegap::traffic
