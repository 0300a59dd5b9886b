#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/transport/http_client.h"
#include "load_plan.h"

namespace lycheegap::load {

/// How one request ended, as its caller sees it.
enum class outcome : std::uint8_t {
    answered,
    /// Refused, and the refusal says that the request did not run.
    not_run,
    /// Refused or failed, and whether the request ran is not known.
    unknown,
    /// No host took the request; it never left.
    not_sent,
};

struct request_end {
    outcome how{outcome::not_sent};
    /// Reason of a refusal, or of the failure.
    std::string reason;
    double latency_ms{0};
    std::string request_id;
};

/// Look-up answer that the callers of one plan share until it expires.
struct lookup_cache {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::vector<std::string> hosts;
    /// Request ids are made of it.
    std::string ticket;
    std::int64_t expires_at_unix_ms{0};
    std::size_t next_address{0};
    std::uint64_t lookups{0};
};

/// What a look-up answer tells a caller.
struct known_hosts {
    std::vector<std::string> addresses;
    std::string ticket;
};

/// Hosts to use now, asking the system when the kept answer has expired; empty when nobody answers.
known_hosts current_hosts(const load_plan& plan, lookup_cache& cache,
                          transport::connection_pool& connections);

/// Sends one request as a caller does: to the first host that can be reached, under an id made of the
/// ticket and `counter`. While the outcome is unknown it is repeated under the same id at the next hosts, and
/// then asked for.
request_end send_request(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections,
                         std::uint64_t counter);

} // namespace lycheegap::load
