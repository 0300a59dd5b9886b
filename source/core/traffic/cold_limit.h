#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "fleet_view.h"
#include "sliding_window.h"

namespace lycheegap::traffic {

// A cold endpoint takes few requests a second from the whole fleet. Few hosts share them, and without
// messages: all hosts name the same ones, and one that may not know the fleet as it is has no share.

/// Where a host has it from that an endpoint is cold.
enum class cold_source : std::uint8_t {
    none,
    entry,
    /// Its domain was vacated and taken back.
    vacated,
    /// Others of its domain turned cold together.
    domain,
};

/// What a host believes of an endpoint's cold time.
struct cold_belief {
    common::time_point until;
    cold_source source{cold_source::none};
    /// Moment at which this host was told last.
    common::time_point told_at;
    /// Revision of the entry that told it; 0 for other sources.
    std::uint64_t revision{0};
    /// Moment from which hosts with a share may use it: before that, requests may still arrive of hosts that
    /// think it warm.
    common::time_point usable_from;
};

/// Takes in that an endpoint is cold until a moment. What is known already never becomes shorter: news come
/// in any order. `in_use`: hosts that have not heard of it may be sending.
void note_cold(cold_belief& known, common::time_point until, cold_source source, std::uint64_t revision,
               common::time_point now, bool in_use);

/// What a host must know of the fleet to use a cold endpoint.
struct fleet_knowledge {
    std::string_view host;
    /// Null: nothing is known.
    const fleet_view* fleet{nullptr};
    /// Until when the members are valid; passed when the store has confirmed nothing for long.
    common::time_point valid_until;
};

/// Requests that a host with a share may send to one cold endpoint in `cold_window`, of `limit` requests a
/// second for the whole fleet; 0 when the limit leaves no request.
double cold_share(double limit);

/// Window in which a host keeps its share: a second, and the time from placement to sending.
inline constexpr common::milliseconds cold_sending_time{250};
inline constexpr common::milliseconds cold_window = common::milliseconds{1000} + cold_sending_time;

/// Whether this host has a share of an endpoint's cold limit: it is among the first of all hosts that may act
/// on any membership of the recent past.
bool has_cold_share(const fleet_knowledge& knowledge, std::string_view endpoint_id, double limit,
                    common::time_point now);

/// Name of a source, for logs.
std::string_view source_name(cold_source source);

} // namespace lycheegap::traffic
