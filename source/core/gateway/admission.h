#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "call.h"
#include "gateway_state.h"
#include "refusal.h"

namespace lycheegap::gateway {

/// A request that may go to an endpoint. The pointers lie in `config`.
struct admitted_call {
    std::shared_ptr<const traffic::configuration> config;
    const traffic::route* route{nullptr};
    const traffic::team* team{nullptr};
    std::string service;
    /// Key of the object that the request concerns; empty when its route has no affinity.
    std::string object;
    /// Regions that may serve it; empty allows all.
    std::vector<std::string> regions;
    /// The final answer is due.
    common::time_point answer_due;
};

/// Checks route, key and regions, and picks the service. Does not wait.
std::variant<refusal, admitted_call> admit_call(gateway_state& state, const call& it);

/// What a host went by when it placed an attempt, for its log.
struct placement_basis {
    common::boot_clock::time_point placed_at;
    bool is_cold{false};
    traffic::cold_belief cold;
    /// Requests that the host may still send to the endpoint in this second, when it is cold.
    double cold_room{0};
    /// Hosts of the fleet, and the moment at which the store confirmed them.
    std::size_t hosts{0};
    common::boot_clock::time_point hosts_confirmed_at;
};

/// An endpoint for one attempt. The entry is a copy: the shared one changes under the lock of its table.
struct placed_call {
    traffic::endpoint_ptr endpoint;
    traffic::endpoint_entry entry;
    placement_basis basis;
};

/// Endpoint for the next attempt, or nothing when none has room.
std::optional<placed_call> place_call(gateway_state& state, const admitted_call& it,
                                      std::span<const std::string> tried);

/// Whether the service's retry limit has room for one more second sending; counts it.
bool take_repeat(gateway_state& state, std::string_view service);
/// Whether plenty of second sendings are left.
bool has_repeat_room(gateway_state& state, std::string_view service);

/// When a refused caller should come back.
common::milliseconds retry_pause(const admitted_call& it);

} // namespace lycheegap::gateway
