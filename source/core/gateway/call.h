#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "held_body.h"
#include "net.h"

namespace lycheegap::gateway {

struct running_attempt;

/// Counts a request as in flight for as long as the mark exists.
struct in_flight_mark {
    explicit in_flight_mark(std::atomic<int>& requests) : count(&requests) {
        ++*count;
    }

    in_flight_mark(const in_flight_mark&) = delete;
    in_flight_mark& operator=(const in_flight_mark&) = delete;
    in_flight_mark(in_flight_mark&&) = delete;
    in_flight_mark& operator=(in_flight_mark&&) = delete;

    ~in_flight_mark() {
        --*count;
    }

    std::atomic<int>* count;
};

/// One request of a caller, from its arrival to its response. Accessed only on the strand of the caller's
/// connection.
struct call {
    /// The request's head; its body is in `body`.
    request_message request;
    held_body_ptr body;
    /// When the head of the request was complete.
    common::time_point arrived_at;
    /// The caller closed its connection; the response is not needed any more.
    bool abandoned{false};
    /// An attempt has begun.
    bool may_have_run{false};
    /// The attempts that have not ended, oldest first.
    std::vector<std::shared_ptr<running_attempt>> running;
    std::unique_ptr<in_flight_mark> in_flight;
    /// Final response; empty while the request is served.
    std::optional<response_message> response;
    /// For the body of `response`, until the caller has read it.
    transport::memory_reservation response_memory;
};

using call_ptr = std::shared_ptr<call>;

/// Size of a request's body in bytes.
inline std::size_t body_size(const call& it) {
    return it.body ? it.body->bytes.size() : 0;
}

} // namespace lycheegap::gateway
