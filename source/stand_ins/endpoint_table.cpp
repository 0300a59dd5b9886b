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
using transport::number_or;
using transport::query_parameter;

using table_lock = std::unique_lock<common::ranked_mutex>;

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_cancelled = 499;
constexpr int status_expired = 504;
constexpr int whole_percent = 100;
// Longer than any caller waits.
constexpr auto silent_wait = milliseconds(120'000);

bool shows_key(const http_request& request) {
    const auto names_key = [](const execution::header& it) {
        return execution::same_name(it.name, execution::key_header) ||
               (execution::same_name(it.name, "cookie") &&
                it.value.find(execution::key_cookie) != std::string::npos);
    };
    const auto& headers = request.head.headers;
    return std::any_of(headers.begin(), headers.end(), names_key) ||
           request.head.query.find(execution::key_parameter) != std::string::npos;
}

void wait_until_stopped(endpoint_table& endpoint, table_lock& guard, time_point until) {
    while (!endpoint.stopping && monotonic::now() < until) {
        endpoint.changed.wait_until(guard, until);
    }
}

/// Counts a new connection and spends its time; returns what becomes of the connection's requests, which may
/// change while one runs.
const silence& meet_connection(endpoint_table& endpoint, table_lock& guard, const http_request& request) {
    const auto name = fmt::format("{}:{}", request.peer, request.peer_port);
    const auto [it, is_new] = endpoint.connections.emplace(name, silence::none);
    if (is_new) {
        ++endpoint.counts.connections;
        wait_until_stopped(endpoint, guard,
                           monotonic::now() + milliseconds(endpoint.behaviour.connection_ms));
    }
    return it->second;
}

int load_percent(endpoint_table& endpoint) {
    const auto& it = endpoint.behaviour;
    if (it.report_percent >= 0) {
        return it.report_percent;
    }
    const auto now = monotonic::now();
    if (now >= endpoint.reported_at + milliseconds(it.report_lag_ms)) {
        endpoint.reported_at = now;
        endpoint.reported_percent = endpoint.running * whole_percent / std::max(1, it.slots);
    }
    return endpoint.reported_percent;
}

http_response with_report(endpoint_table& endpoint, http_response answer) {
    answer.headers.push_back({"x-load-percent", std::to_string(load_percent(endpoint))});
    if (endpoint.behaviour.draining && !endpoint.behaviour.hide_drain) {
        answer.headers.push_back({"x-draining", "1"});
    }
    return answer;
}

http_response shed_response(endpoint_table& endpoint) {
    ++endpoint.counts.shed;
    return with_report(endpoint, {status_unavailable, {{"x-shed", "1"}}, "shed\n"});
}

milliseconds service_time(const endpoint_table& endpoint, time_point now) {
    const auto& it = endpoint.behaviour;
    const auto age_ms = common::milliseconds_between(endpoint.cold_since, now);
    if (endpoint.cold_since == time_point{} || age_ms >= it.cold_ms) {
        return milliseconds(it.service_ms);
    }
    const double left = 1.0 - static_cast<double>(age_ms) / it.cold_ms;
    return milliseconds(static_cast<std::int64_t>(it.service_ms * (1.0 + (it.cold_factor - 1) * left)));
}

void record_run(endpoint_table& endpoint, const http_request& request, std::string_view id) {
    // The log outlives the process: tests count runs by it after a kill.
    common::log_info("ran", {common::field("request", id), common::field("path", request.head.path)});
    endpoint.runs.push_back(
        {std::string(id), request.head.path, std::string(transport::as_text(request.body))});
    if (endpoint.behaviour.draining) {
        ++endpoint.counts.runs_in_drain;
        endpoint.counts.last_run_in_drain_ms =
            common::milliseconds_between(endpoint.draining_since, monotonic::now());
    }
}

/// Runs to the end of the service time, the request's deadline or its cancellation; the status to answer.
int run_to_end(endpoint_table& endpoint, table_lock& guard, const http_request& request,
               std::string_view id) {
    const auto now = monotonic::now();
    const auto given = execution::find_header(request.head.headers, "x-deadline-ms");
    const auto done_at = now + service_time(endpoint, now);
    const auto until = given.empty() ? done_at : std::min(done_at, now + milliseconds(number_or(given, 0)));
    while (!endpoint.stopping && !endpoint.cancelled.contains(id) && monotonic::now() < until) {
        endpoint.changed.wait_until(guard, until);
    }
    if (const auto it = endpoint.cancelled.find(id); it != endpoint.cancelled.end()) {
        endpoint.cancelled.erase(it);
        ++endpoint.counts.cancelled;
        return status_cancelled;
    }
    if (until < done_at) {
        ++endpoint.counts.expired;
        return status_expired;
    }
    return 200;
}

http_response run_work(endpoint_table& endpoint, table_lock& guard, const http_request& request) {
    endpoint.counts.keys_seen += shows_key(request) ? 1 : 0;
    if (endpoint.behaviour.shed || endpoint.running >= endpoint.behaviour.slots) {
        return shed_response(endpoint);
    }
    ++endpoint.running;
    const auto id = execution::find_header(request.head.headers, "x-request-id");
    record_run(endpoint, request, id);
    endpoint.running_ids.emplace(id);
    const int status = run_to_end(endpoint, guard, request, id);
    if (const auto it = endpoint.running_ids.find(id); it != endpoint.running_ids.end()) {
        endpoint.running_ids.erase(it);
    }
    --endpoint.running;
    auto answer = fmt::format("{{\"endpoint\":\"{}\",\"request\":\"{}\",\"path\":\"{}\",\"bytes\":{}}}",
                              endpoint.name, id, request.head.path, request.body.size());
    return with_report(endpoint, transport::json_response(status, std::move(answer)));
}

http_response answer_probe(endpoint_table& endpoint, table_lock& guard) {
    ++endpoint.counts.probes;
    wait_until_stopped(endpoint, guard, monotonic::now() + milliseconds(endpoint.behaviour.probe_ms));
    return with_report(endpoint, {200, {}, "alive\n"});
}

http_response cancel_run(endpoint_table& endpoint, std::string_view id) {
    if (!endpoint.running_ids.contains(id)) {
        return {status_not_found, {}, "not running\n"};
    }
    endpoint.cancelled.emplace(id);
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
    return run_work(endpoint, guard, request);
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
    const auto& kind = meet_connection(endpoint, guard, request);
    if (kind == silence::before_run) {
        wait_until_stopped(endpoint, guard, monotonic::now() + silent_wait);
        return {status_unavailable, {}, ""};
    }
    auto answer = serve_path(endpoint, guard, request);
    if (kind == silence::after_run) {
        wait_until_stopped(endpoint, guard, monotonic::now() + silent_wait);
    }
    return answer;
}

void stop_endpoint(endpoint_table& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    endpoint.stopping = true;
    endpoint.changed.notify_all();
}

} // namespace lycheegap::stand_ins
