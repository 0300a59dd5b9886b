#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/execution/attempt.h"
#include "exchange.h"

namespace lycheegap::host {

/// Endpoint for one attempt, or why there is none.
struct endpoint_turn {
    std::optional<std::string> address;
    /// The queue was full; else the wait was too long.
    bool queue_full{false};
};

/// Waits in the fair queue of the request's service until it is its team's turn and an endpoint has a free
/// slot: interactive and once up to the template's queue timeout, deferrable up to the request's deadline.
endpoint_turn wait_for_endpoint(host_state& host, const exchange& it, std::string_view excluded);

/// Gives the slot back and wakes who waits for it.
void release_endpoint(host_state& host, const exchange& it, std::string_view address,
                      execution::attempt_result result, double latency_ms);

/// Counts a request of a team while it waits or runs, so that one team cannot hold all workers.
class busy_mark {
public:
    busy_mark(host_state& host, const exchange& it);
    busy_mark(const busy_mark&) = delete;
    busy_mark& operator=(const busy_mark&) = delete;
    busy_mark(busy_mark&&) = delete;
    busy_mark& operator=(busy_mark&&) = delete;
    ~busy_mark();

    /// The team is under its share of the workers.
    [[nodiscard]] bool is_within() const;

private:
    host_state* host_;
    std::string team_;
    bool within_{false};
};

} // namespace lycheegap::host
