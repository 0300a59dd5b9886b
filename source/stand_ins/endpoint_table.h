#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// Where requests on a silent connection get lost.
enum class silence : std::uint8_t { none, before_run, after_run };

/// How the worker behaves; tests change it through /control.
struct endpoint_behaviour {
    int slots{4};
    /// Time that one request takes.
    int service_ms{5};
    /// Time that each new connection and each probe takes.
    int connection_ms{1};
    int probe_ms{6};
    /// Sheds every request.
    bool shed{false};
    /// Says in each answer that it leaves; it still serves what comes.
    bool draining{false};
    /// Drains without saying so.
    bool hide_drain{false};
    /// Load that is reported in place of the true one, in percent of the slots; negative reports the true
    /// one.
    int report_percent{-1};
    /// Least age at which the reported load is measured again.
    int report_lag_ms{0};
    /// While cold, requests take up to `cold_factor` times as long, falling to once over `cold_ms`.
    int cold_ms{5000};
    int cold_factor{4};
};

/// One request that was run.
struct run_record {
    std::string request_id;
    std::string path;
    std::string body;
};

/// What the worker has counted since its start.
struct endpoint_counts {
    std::uint64_t shed{0};
    /// Requests that came with something that looks like a caller's key.
    std::uint64_t keys_seen{0};
    std::uint64_t connections{0};
    std::uint64_t probes{0};
    std::uint64_t cancelled{0};
    /// Runs that their deadline cut short.
    std::uint64_t expired{0};
    /// Runs that began while it drained, and how long after its beginning the last one did.
    std::uint64_t runs_in_drain{0};
    std::int64_t last_run_in_drain_ms{-1};
};

/// Shared table of an endpoint's stand-in.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    std::string name;
    endpoint_behaviour behaviour;
    endpoint_counts counts;
    int running{0};
    std::vector<run_record> runs;
    /// Ids of runs that are to be cancelled.
    std::set<std::string, std::less<>> cancelled;
    std::set<std::string, std::less<>> running_ids;
    /// Connections seen, "ip:port", and what becomes of their requests.
    std::map<std::string, silence, std::less<>> connections;
    common::time_point cold_since;
    common::time_point draining_since;
    int reported_percent{0};
    common::time_point reported_at;
    bool stopping{false};
};

/// Serves any path as work. An answer's head shows the load (x-load-percent) and a drain (x-draining);
/// x-deadline-ms ends a run early. /health is a probe, /cancel?id= ends a run; /control and /record are for
/// tests.
transport::http_response serve_endpoint(endpoint_table& endpoint, const transport::http_request& request);

/// Wakes all waiting work.
void stop_endpoint(endpoint_table& endpoint);

} // namespace lycheegap::stand_ins
