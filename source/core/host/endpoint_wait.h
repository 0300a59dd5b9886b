#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/execution/attempt.h"
#include "exchange.h"

namespace lycheegap::host {

/// Endpoint for one attempt, or why there is none.
struct endpoint_wait_result {
    /// Address of the endpoint whose slot is reserved; empty when there is none.
    std::optional<std::string> address;
    /// Why there is none: true when the queue was full, false when the wait timed out.
    bool queue_full{false};
};

/// Waits in the fair queue of the request's service until it is the request's turn and an endpoint has a free
/// slot. Interactive and once requests wait up to the template's queue timeout, deferrable ones up to their
/// deadline. `excluded`, the address tried before, is used only when no other endpoint is free.
endpoint_wait_result wait_for_endpoint(host_state& host, const exchange& it, std::string_view excluded);

/// Releases the slot as `release_slot` does and wakes the requests that wait for one.
void release_slot_and_notify(host_state& host, const exchange& it, std::string_view address,
                             execution::attempt_result result, double latency_ms);

/// Counts a request of a team while it waits or runs, so that one team cannot occupy all workers.
class active_request_guard {
public:
    active_request_guard(host_state& host, const exchange& it);
    active_request_guard(const active_request_guard&) = delete;
    active_request_guard& operator=(const active_request_guard&) = delete;
    active_request_guard(active_request_guard&&) = delete;
    active_request_guard& operator=(active_request_guard&&) = delete;
    ~active_request_guard();

    /// Whether the team was within its share of the workers when this request was counted.
    [[nodiscard]] bool is_within_share() const;

private:
    host_state* host_;
    std::string team_;
    bool within_share_{false};
};

} // namespace lycheegap::host
