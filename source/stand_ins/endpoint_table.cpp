#include "endpoint_table.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "core/common/log.h"

namespace lycheegap::stand_ins {

namespace {

using common::milliseconds;
using common::monotonic;
using transport::http_request;
using transport::http_response;
using transport::number_or;
using transport::query_parameter;

constexpr int status_unavailable = 503;

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

http_response shed_response(endpoint_table& endpoint) {
    ++endpoint.shed;
    return {status_unavailable, {{"x-shed", "1"}}, "shed\n"};
}

http_response run_work(endpoint_table& endpoint, const http_request& request) {
    std::unique_lock guard(endpoint.mutex);
    endpoint.keys_seen += shows_key(request) ? 1 : 0;
    if (endpoint.behaviour.shed || endpoint.running >= endpoint.behaviour.slots) {
        return shed_response(endpoint);
    }
    ++endpoint.running;
    const auto id = execution::find_header(request.head.headers, "x-request-id");
    endpoint.runs.push_back(
        {std::string(id), request.head.path, std::string(transport::as_text(request.body))});
    // The log outlives the process: tests count runs by it after a kill.
    common::log_info("ran", {common::field("request", id), common::field("path", request.head.path)});
    const auto until = monotonic::now() + milliseconds(endpoint.behaviour.service_ms);
    while (!endpoint.stopping && monotonic::now() < until) {
        endpoint.changed.wait_until(guard, until);
    }
    --endpoint.running;
    auto answer = fmt::format("{{\"endpoint\":\"{}\",\"request\":\"{}\",\"path\":\"{}\",\"bytes\":{}}}",
                              endpoint.name, id, request.head.path, request.body.size());
    return transport::json_response(200, std::move(answer));
}

http_response set_behaviour(endpoint_table& endpoint, std::string_view query) {
    const std::lock_guard guard(endpoint.mutex);
    auto& it = endpoint.behaviour;
    it.slots = static_cast<int>(number_or(query_parameter(query, "slots"), it.slots));
    it.service_ms = static_cast<int>(number_or(query_parameter(query, "service_ms"), it.service_ms));
    it.shed = number_or(query_parameter(query, "shed"), it.shed ? 1 : 0) != 0;
    return {200, {}, "done\n"};
}

http_response report_runs(endpoint_table& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    auto text = fmt::format("runs={} shed={} keys_seen={}\n", endpoint.runs.size(), endpoint.shed,
                            endpoint.keys_seen);
    for (const auto& it : endpoint.runs) {
        text += fmt::format("{} {}\n", it.request_id, it.path);
    }
    return {200, {}, std::move(text)};
}

} // namespace

http_response serve_endpoint(endpoint_table& endpoint, const http_request& request) {
    if (request.head.path == "/control") {
        return set_behaviour(endpoint, request.head.query);
    }
    if (request.head.path == "/record") {
        return report_runs(endpoint);
    }
    return run_work(endpoint, request);
}

void stop_endpoint(endpoint_table& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    endpoint.stopping = true;
    endpoint.changed.notify_all();
}

} // namespace lycheegap::stand_ins
