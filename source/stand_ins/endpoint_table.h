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

/// Where requests on a connection hang: before they are run, or after the run and before the response.
enum class stall_point : std::uint8_t { none, before_run, after_run };

/// How the simulated endpoint behaves; tests change it through /control.
struct endpoint_behaviour {
    /// Requests that run at the same time; more are shed.
    int slots{4};
    /// Service time of one request.
    int service_ms{5};
    /// Delay of the first request on each new connection.
    int connection_ms{1};
    /// Time that each health probe takes.
    int probe_ms{6};
    /// Sheds every request, whatever the load.
    bool shed{false};
    /// Announces the drain in every response (x-draining) and still serves incoming requests.
    bool draining{false};
    /// Omits x-draining while draining.
    bool hide_drain{false};
    /// Load to report in place of the measured one, in percent of the slots; negative reports the measured
    /// one.
    int report_percent{-1};
    /// Minimum age of the reported load before it is measured again.
    int report_lag_ms{0};
    /// Length of a cold period. The service time starts at `cold_factor` times the normal one and falls
    /// linearly to the normal one.
    int cold_ms{5000};
    int cold_factor{4};
};

/// One request whose run started.
struct run_record {
    std::string request_id;
    std::string path;
    std::string body;
};

/// Counters since the start of the process.
struct endpoint_counts {
    std::uint64_t shed{0};
    /// Requests that carried a caller's API key in a header, cookie or query parameter.
    std::uint64_t keys_seen{0};
    std::uint64_t connections{0};
    std::uint64_t probes{0};
    std::uint64_t cancelled{0};
    /// Runs ended early by x-deadline-ms.
    std::uint64_t expired{0};
    /// Runs that started while the endpoint was draining.
    std::uint64_t runs_in_drain{0};
    /// Time from the start of the drain to the start of the last such run; -1 without one.
    std::int64_t last_run_in_drain_ms{-1};
};

/// State of the endpoint stand-in, shared by its connection threads and guarded by `mutex`.
struct endpoint_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    std::condition_variable_any changed;
    std::string name;
    endpoint_behaviour behaviour;
    endpoint_counts counts;
    int running{0};
    std::vector<run_record> runs;
    /// Request ids whose cancellation was asked for and whose run has not ended yet.
    std::set<std::string, std::less<>> cancelled_ids;
    std::set<std::string, std::less<>> running_ids;
    /// Connections seen, by the peer's "ip:port", and where their requests hang.
    std::map<std::string, stall_point, std::less<>> connections;
    common::time_point cold_since;
    common::time_point draining_since;
    /// Load measured last, and when.
    int reported_percent{0};
    common::time_point reported_at;
    bool stopping{false};
};

/// Handles one HTTP request. /health answers a probe, /cancel?id= ends a run, /control and /record are for
/// tests; every other path is run as a request, which the header x-deadline-ms ends early. Response headers
/// report the load (x-load-percent) and a drain (x-draining).
transport::http_response serve_endpoint(endpoint_table& endpoint, const transport::http_request& request);

/// Ends all waits, so that the handlers return.
void stop_endpoint(endpoint_table& endpoint);

} // namespace lycheegap::stand_ins
