#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/transport/http_client.h"
#include "load_plan.h"

namespace lycheegap::load {

/// Final state of a request as its caller knows it.
enum class outcome : std::uint8_t {
    /// Answered with a response that is no refusal and has a status below 500, or so reported by a host.
    answered,
    /// Refused, and the refusal states that the request did not run.
    not_run,
    /// Refused or failed, and the request may have run.
    unknown,
    /// No host could be reached; nothing was sent.
    not_sent,
};

struct request_result {
    outcome final_outcome{outcome::not_sent};
    /// HTTP status of an answer, reason of a refusal, or error text of a failure.
    std::string reason;
    /// Time in `send_request`, including look-up, repetitions and outcome queries.
    double latency_ms{0};
    std::string request_id;
};

/// Look-up answer, shared by the requests of one plan until it expires.
struct lookup_cache {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::vector<std::string> hosts;
    /// Prefix of the request ids.
    std::string ticket;
    std::int64_t expires_at_unix_ms{0};
    /// Index, modulo their number, of the look-up listener to use next.
    std::size_t next_address{0};
    /// Look-up requests sent.
    std::uint64_t lookups{0};
};

/// Hosts and ticket of a look-up answer that has not expired.
struct lookup_result {
    /// "ip:port", in the order in which to try them.
    std::vector<std::string> addresses;
    std::string ticket;
};

/// Returns the cached hosts, after a new look-up if they have expired; no hosts when no look-up succeeds.
lookup_result find_hosts(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections);

/// Sends one request as a client of the system does: to the first reachable host, with the id
/// "TICKET.COUNTER". While the outcome is unknown, the request is repeated with the same id at the following
/// hosts; after the last one the outcome is queried from all hosts. Without a ticket the id starts with
/// "load" and the seed, and the outcome is not queried.
request_result send_request(const load_plan& plan, lookup_cache& cache,
                            transport::connection_pool& connections, std::uint64_t counter);

} // namespace lycheegap::load
