#include "platform_endpoint.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/common/clock.h"
#include "core/common/log.h"
#include "core/transport/http_client.h"

namespace lycheegap::stand_ins {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;
using execution::find_header;
using nlohmann::json;
using transport::http_request;
using transport::http_response;
using transport::parse_uint_or;
using transport::query_parameter;

using endpoint_lock = std::unique_lock<common::ranked_mutex>;

constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;
constexpr int status_expired = 504;
constexpr std::uint64_t default_deadline_ms = 30'000;
constexpr milliseconds store_call_timeout{1000};
// Longer than any client timeout.
constexpr milliseconds withheld_response_delay{20'000};
constexpr int renewals_per_ttl = 3;
constexpr std::uint64_t longest_answer = 64U << 20U;

/// Waits for the given time or until the endpoint stops; releases the lock meanwhile.
void wait_unless_stopped(platform_endpoint& endpoint, endpoint_lock& guard, milliseconds duration) {
    const auto deadline = monotonic::now() + duration;
    while (!endpoint.stopping && monotonic::now() < deadline) {
        endpoint.changed.wait_until(guard, deadline);
    }
}

/// Value of Lycheegap-Server-Load: running requests, queued requests (always 0), capacity.
std::string load_header(const platform_endpoint& endpoint) {
    return fmt::format("{},0,{}", endpoint.running, endpoint.registration.capacity);
}

/// Adds what the endpoint says about itself in all its answers.
http_response with_state(const platform_endpoint& endpoint, http_response response) {
    response.headers.push_back({"Lycheegap-Server-Load", load_header(endpoint)});
    if (!endpoint.named_limit.empty()) {
        response.headers.push_back({"Server-Limit", endpoint.named_limit});
    }
    return response;
}

http_response not_executed_response(const platform_endpoint& endpoint, int status, std::string_view id) {
    common::log_info("turned_away", {field("request", id), field("unix_ms", common::unix_milliseconds())});
    return with_state(endpoint, {status, {{"Lycheegap-Not-Executed", "1"}}, "not run\n"});
}

void log_run(const platform_endpoint& endpoint, const http_request& request, std::string_view id) {
    const auto& headers = request.head.headers;
    // Runs are counted from the log, which remains after the process is killed.
    common::log_info("ran", {field("request", id), field("unix_ms", common::unix_milliseconds()),
                             field("team", find_header(headers, "Lycheegap-Tenant")),
                             field("key_seen", !find_header(headers, "Authorization").empty()),
                             field("draining", endpoint.draining)});
}

/// Body of an answer; with the query parameter answer_bytes, filled up to that length.
std::string answer_body(const http_request& request, std::string_view id) {
    auto body = fmt::format("body-of-{}", id);
    const auto length = parse_uint_or(query_parameter(request.head.query, "answer_bytes"), 0);
    body.resize(std::max<std::size_t>(body.size(), std::min<std::uint64_t>(length, longest_answer)), '.');
    return body;
}

/// Runs a request for its service time, or until its deadline.
http_response run_request(platform_endpoint& endpoint, endpoint_lock& guard, const http_request& request,
                          std::string_view id) {
    const auto& headers = request.head.headers;
    const auto deadline_ms =
        parse_uint_or(find_header(headers, "Lycheegap-Request-Deadline"), default_deadline_ms);
    const milliseconds service_time{endpoint.registration.service_ms};
    const milliseconds time_limit{static_cast<std::int64_t>(deadline_ms)};
    ++endpoint.running;
    log_run(endpoint, request, id);
    wait_unless_stopped(endpoint, guard, std::min(service_time, time_limit));
    --endpoint.running;
    if (endpoint.silent_answers > 0) {
        --endpoint.silent_answers;
        wait_unless_stopped(endpoint, guard, withheld_response_delay);
    }
    return with_state(endpoint, {time_limit < service_time ? status_expired : 200,
                                 {{"Lycheegap-Request-Id", std::string(id)},
                                  {"Lycheegap-Response-Seal", "seal-" + std::string(id)}},
                                 answer_body(request, id)});
}

http_response serve_control(platform_endpoint& endpoint, std::string_view query) {
    const std::lock_guard guard(endpoint.mutex);
    endpoint.draining = parse_uint_or(query_parameter(query, "draining"), endpoint.draining ? 1 : 0) != 0;
    endpoint.silent_answers = static_cast<int>(parse_uint_or(
        query_parameter(query, "silent_answers"), static_cast<std::uint64_t>(endpoint.silent_answers)));
    endpoint.registration.service_ms = static_cast<int>(parse_uint_or(
        query_parameter(query, "service_ms"), static_cast<std::uint64_t>(endpoint.registration.service_ms)));
    if (query.find("limit=") != std::string_view::npos) {
        endpoint.named_limit = query_parameter(query, "limit");
    }
    endpoint.changed.notify_all();
    return {200, {}, "done\n"};
}

/// The entry of the endpoint in the store, as JSON text.
std::string store_entry(const platform_endpoint& endpoint, std::uint64_t sequence) {
    const auto& it = endpoint.registration;
    const json entry = {
        {"address", it.advertised_address.empty() ? it.address : it.advertised_address},
        {"born", endpoint.started_unix_ms},
        {"info", {{"service", it.service}, {"version", "v1"}, {"zone", it.zone}, {"capacity", it.capacity}}},
        {"status",
         {{"state", endpoint.draining ? "draining" : "ready"},
          {"sequence", sequence},
          {"cold_remaining_s", 0.0}}}};
    return entry.dump();
}

/// Sends one request to the store; returns the parsed response, or null on failure.
json call_store(transport::connection_pool& pool, const std::string& store_address, const std::string& path,
                const std::string& query, const std::string& body) {
    transport::http_call call;
    call.address = store_address;
    call.head.method = "POST";
    call.head.path = path;
    call.head.query = query;
    call.body = transport::as_bytes(body);
    call.deadline = monotonic::now() + store_call_timeout;
    const auto result = transport::call_http(pool, call);
    if (!result.response || result.response->status != 200) {
        return nullptr;
    }
    return json::parse(result.response->body, nullptr, false);
}

} // namespace

http_response serve_platform_endpoint(platform_endpoint& endpoint, const http_request& request) {
    if (request.head.path == "/control") {
        return serve_control(endpoint, request.head.query);
    }
    endpoint_lock guard(endpoint.mutex);
    const auto& headers = request.head.headers;
    const auto id = find_header(headers, "Lycheegap-Request-Id");
    const auto target = find_header(headers, "Lycheegap-Target-Instance");
    if (!target.empty() && target != endpoint.registration.id) {
        return not_executed_response(endpoint, status_misdirected, id);
    }
    if (id.empty() || endpoint.running >= endpoint.registration.capacity) {
        return not_executed_response(endpoint, status_unavailable, id);
    }
    return run_request(endpoint, guard, request, id);
}

void keep_endpoint_registered(platform_endpoint& endpoint) {
    transport::connection_pool pool;
    const auto store = endpoint.registration.store_address;
    const auto renewal_interval = milliseconds{endpoint.registration.lease_ms / renewals_per_ttl};
    const json lease_request = {{"ttl_s_time", endpoint.registration.lease_ms / 1000.0}};
    std::uint64_t lease = 0;
    std::uint64_t sequence = 0;
    endpoint_lock guard(endpoint.mutex);
    while (!endpoint.stopping) {
        const auto entry = store_entry(endpoint, ++sequence);
        guard.unlock();
        if (lease == 0 ||
            call_store(pool, store, fmt::format("/api/kv-keep/{}", lease), "", "{}").is_null()) {
            const auto granted = call_store(pool, store, "/api/kv-lease", "", lease_request.dump());
            lease = granted.is_object() ? granted.value("lease", std::uint64_t{0}) : 0;
        }
        if (lease != 0) {
            call_store(pool, store, "/operator",
                       fmt::format("key=servers/{}&lease={}", endpoint.registration.id, lease), entry);
        }
        guard.lock();
        endpoint.changed.wait_until(guard, monotonic::now() + renewal_interval);
    }
}

void stop_platform_endpoint(platform_endpoint& endpoint) {
    const std::lock_guard guard(endpoint.mutex);
    endpoint.stopping = true;
    endpoint.changed.notify_all();
}

} // namespace lycheegap::stand_ins
