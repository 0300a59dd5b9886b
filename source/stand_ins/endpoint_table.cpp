#include "endpoint_table.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "core/common/log.h"
#include "endpoint_control.h"

namespace lycheegap::stand_ins {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;
using transport::http_request;
using transport::http_response;
using transport::parse_uint_or;
using transport::query_parameter;

using table_lock = std::unique_lock<common::ranked_mutex>;

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_cancelled = 499;
constexpr int status_expired = 504;
constexpr int full_load_percent = 100;
// Longer than any client timeout in the tests.
constexpr auto stall_time = milliseconds(120'000);

bool contains_caller_key(const http_request& request) {
    const auto is_key_header = [](const execution::header& it) {
        return execution::equals_ignoring_case(it.name, execution::key_header) ||
               (execution::equals_ignoring_case(it.name, "cookie") &&
                it.value.find(execution::key_cookie) != std::string::npos);
    };
    const auto& headers = request.head.headers;
    return std::any_of(headers.begin(), headers.end(), is_key_header) ||
           request.head.query.find(execution::key_parameter) != std::string::npos;
}

/// Waits until the given time or until the endpoint stops; releases the lock meanwhile.
void wait_unless_stopped(endpoint_table& endpoint, table_lock& guard, time_point until) {
    while (!endpoint.stopping && monotonic::now() < until) {
        endpoint.changed.wait_until(guard, until);
    }
}

/// Counts a new connection and delays its first request; returns where the connection's requests hang. The
/// value may change while a request runs.
const stall_point& register_connection(endpoint_table& endpoint, table_lock& guard,
                                       const http_request& request) {
    const auto name = fmt::format("{}:{}", request.peer, request.peer_port);
    const auto [it, is_new] = endpoint.connections.emplace(name, stall_point::none);
    if (is_new) {
        ++endpoint.counts.connections;
        wait_unless_stopped(endpoint, guard,
                            monotonic::now() + milliseconds(endpoint.behaviour.connection_ms));
    }
    return it->second;
}

/// Load for x-load-percent: the configured one, or the one measured last.
int reported_load_percent(endpoint_table& endpoint) {
    const auto& it = endpoint.behaviour;
    if (it.report_percent >= 0) {
        return it.report_percent;
    }
    const auto now = monotonic::now();
    if (now >= endpoint.reported_at + milliseconds(it.report_lag_ms)) {
        endpoint.reported_at = now;
        endpoint.reported_percent = endpoint.running * full_load_percent / std::max(1, it.slots);
    }
    return endpoint.reported_percent;
}

http_response with_load_headers(endpoint_table& endpoint, http_response response) {
    response.headers.push_back({"x-load-percent", std::to_string(reported_load_percent(endpoint))});
    if (endpoint.behaviour.draining && !endpoint.behaviour.hide_drain) {
        response.headers.push_back({"x-draining", "1"});
    }
    return response;
}

http_response shed_response(endpoint_table& endpoint) {
    ++endpoint.counts.shed;
    return with_load_headers(endpoint, {status_unavailable, {{"x-shed", "1"}}, "shed\n"});
}

/// Service time of a request that starts now; longer during a cold period.
milliseconds service_time(const endpoint_table& endpoint, time_point now) {
    const auto& it = endpoint.behaviour;
    const auto age_ms = common::milliseconds_between(endpoint.cold_since, now);
    if (endpoint.cold_since == time_point{} || age_ms >= it.cold_ms) {
        return milliseconds(it.service_ms);
    }
    const double remaining_fraction = 1.0 - static_cast<double>(age_ms) / it.cold_ms;
    return milliseconds(
        static_cast<std::int64_t>(it.service_ms * (1.0 + (it.cold_factor - 1) * remaining_fraction)));
}

void record_run(endpoint_table& endpoint, const http_request& request, std::string_view id) {
    // Tests count runs from the log, which remains after the process is killed.
    common::log_info("ran", {common::field("request", id), common::field("path", request.head.path)});
    endpoint.runs.push_back(
        {std::string(id), request.head.path, std::string(transport::as_text(request.body))});
    if (endpoint.behaviour.draining) {
        ++endpoint.counts.runs_in_drain;
        endpoint.counts.last_run_in_drain_ms =
            common::milliseconds_between(endpoint.draining_since, monotonic::now());
    }
}

/// Waits for the end of the service time, the request's deadline or its cancellation; returns the response
/// status.
int wait_for_completion(endpoint_table& endpoint, table_lock& guard, const http_request& request,
                        std::string_view id) {
    const auto now = monotonic::now();
    const auto deadline_ms = execution::find_header(request.head.headers, "x-deadline-ms");
    const auto done_at = now + service_time(endpoint, now);
    const auto until =
        deadline_ms.empty() ? done_at : std::min(done_at, now + milliseconds(parse_uint_or(deadline_ms, 0)));
    while (!endpoint.stopping && !endpoint.cancelled_ids.contains(id) && monotonic::now() < until) {
        endpoint.changed.wait_until(guard, until);
    }
    if (const auto it = endpoint.cancelled_ids.find(id); it != endpoint.cancelled_ids.end()) {
        endpoint.cancelled_ids.erase(it);
        ++endpoint.counts.cancelled;
        return status_cancelled;
    }
    if (until < done_at) {
        ++endpoint.counts.expired;
        return status_expired;
    }
    return 200;
}

http_response run_request(endpoint_table& endpoint, table_lock& guard, const http_request& request) {
    endpoint.counts.keys_seen += contains_caller_key(request) ? 1 : 0;
    if (endpoint.behaviour.shed || endpoint.running >= endpoint.behaviour.slots) {
        return shed_response(endpoint);
    }
    ++endpoint.running;
    const auto id = execution::find_header(request.head.headers, "x-request-id");
    record_run(endpoint, request, id);
    endpoint.running_ids.emplace(id);
    const int status = wait_for_completion(endpoint, guard, request, id);
    if (const auto it = endpoint.running_ids.find(id); it != endpoint.running_ids.end()) {
        endpoint.running_ids.erase(it);
    }
    --endpoint.running;
    auto response = fmt::format("{{\"endpoint\":\"{}\",\"request\":\"{}\",\"path\":\"{}\",\"bytes\":{}}}",
                                endpoint.name, id, request.head.path, request.body.size());
    return with_load_headers(endpoint, transport::json_response(status, std::move(response)));
}

http_response answer_probe(endpoint_table& endpoint, table_lock& guard) {
    ++endpoint.counts.probes;
    wait_unless_stopped(endpoint, guard, monotonic::now() + milliseconds(endpoint.behaviour.probe_ms));
    return with_load_headers(endpoint, {200, {}, "alive\n"});
}

http_response cancel_run(endpoint_table& endpoint, std::string_view id) {
    if (!endpoint.running_ids.contains(id)) {
        return {status_not_found, {}, "not running\n"};
    }
    endpoint.cancelled_ids.emplace(id);
    endpoint.changed.notify_all();
    return {200, {}, "cancelled\n"};
}

http_response serve_path(endpoint_table& endpoint, table_lock& guard, const http_request& request) {
    if (request.head.path == "/health") {
        return answer_probe(endpoint, guard);
    }
    if (request.head.path == "/cancel") {
        return cancel_run(endpoint, query_parameter(request.head.query, "id"));
    }
    return run_request(endpoint, guard, request);
}

} // namespace

http_response serve_endpoint(endpoint_table& endpoint, const http_request& request) {
    if (request.head.path == "/control") {
        return set_behaviour(endpoint, request.head.query);
    }
    if (request.head.path == "/record") {
        return report_runs(endpoint);
    }
    table_lock guard(endpoint.mutex);
    const auto& stall = register_connection(endpoint, guard, request);
    if (stall == stall_point::before_run) {
        wait_unless_stopped(endpoint, guard, monotonic::now() + stall_time);
        return {status_unavailable, {}, ""};
    }
    auto response = serve_path(endpoint, guard, request);
    if (stall == stall_point::after_run) {
        wait_unless_stopped(endpoint, guard, monotonic::now() + stall_time);
    }
    return response;
}

void stop_endpoint(endpoint_table& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    endpoint.stopping = true;
    endpoint.changed.notify_all();
}

} // namespace lycheegap::stand_ins
