#pragma once

#include <condition_variable>
#include <cstdint>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// How the worker behaves; tests change it through /control.
struct endpoint_behaviour {
    int slots{4};
    /// Time that one request takes.
    int service_ms{5};
    /// Sheds every request.
    bool shed{false};
};

/// One request that was run.
struct run_record {
    std::string request_id;
    std::string path;
    std::string body;
};

/// Shared table of an endpoint's stand-in.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    std::string name;
    endpoint_behaviour behaviour;
    int running{0};
    std::vector<run_record> runs;
    std::uint64_t shed{0};
    /// Requests that came with something that looks like a caller's key.
    std::uint64_t keys_seen{0};
    bool stopping{false};
};

/// Serves any path as work; /control?slots=&service_ms=&shed= and /record are for tests.
transport::http_response serve_endpoint(endpoint_table& endpoint, const transport::http_request& request);

/// Wakes all waiting work.
void stop_endpoint(endpoint_table& endpoint);

} // namespace lycheegap::stand_ins
