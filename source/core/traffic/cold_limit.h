#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "fleet_share.h"
#include "sliding_window.h"

namespace lycheegap::traffic {

// A cold endpoint (recently started, or back in use) accepts few requests per second from the whole fleet.

/// How a host learned that an endpoint is cold.
enum class cold_source : std::uint8_t {
    none,
    /// From the endpoint's entry in the store.
    entry,
    /// Its failure domain came back into use after it was vacated. Also used for an endpoint that registers
    /// while its whole domain counts as cold, for whatever reason.
    vacated,
    /// Many endpoints of its failure domain turned cold at once.
    domain,
};

/// An endpoint's cold time as known to this host.
struct cold_state {
    /// End of the cold time; in the past when the endpoint is warm.
    common::time_point until;
    cold_source source{cold_source::none};
    /// When this host last learned of the cold time.
    common::time_point updated_at;
    /// Store revision of the entry that `source` refers to; 0 for other sources.
    std::uint64_t revision{0};
    /// Time from which hosts with a share may use the endpoint. Until then, hosts that still consider it warm
    /// may be sending requests.
    common::time_point usable_from;
};

/// Records that an endpoint is cold until `until`. The known cold time is never shortened, because updates
/// arrive in any order. `in_use`: hosts that do not know yet that it is cold may be sending to it.
void note_cold(cold_state& cold, common::time_point until, cold_source source, std::uint64_t revision,
               common::time_point now, bool in_use);

/// Number of requests that each host with a share may send to a cold endpoint per `cold_window`. `limit` is
/// the fleet's limit in requests per second; below 1 it allows none.
double cold_share(double limit);

/// Longest time from the placement of a request that counts against a limit of the fleet until it is sent;
/// later, it must not be sent.
inline constexpr common::milliseconds cold_sending_time{250};
/// Window over which a host counts its requests to a cold endpoint: one second, plus the delay before
/// sending.
inline constexpr common::milliseconds cold_window = common::milliseconds{1000} + cold_sending_time;

/// Whether this host has a share of a cold endpoint's limit; two hosts do, for small limits only one.
bool has_cold_share(const membership_knowledge& knowledge, std::string_view endpoint_id, double limit,
                    common::time_point now);

/// Name of a source in logs.
std::string_view source_name(cold_source source);

} // namespace lycheegap::traffic
