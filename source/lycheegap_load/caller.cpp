#include "caller.h"

#include <mutex>

#include <fmt/format.h>

#include "core/common/last_reason.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"

namespace lycheegap::load {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto lookup_timeout = milliseconds(1000);

std::optional<schema::lookup_answer_t> ask(const load_plan& plan, const std::string& address,
                                           transport::connection_pool& connections) {
    transport::http_call call;
    call.address = address;
    call.head.method = "GET";
    call.head.path = "/v1/lookup";
    call.head.query = plan.region.empty() ? "" : "region=" + plan.region;
    call.deadline = monotonic::now() + lookup_timeout;
    const auto result = transport::call_http(connections, call);
    if (!result.response || result.response->status != 200) {
        return std::nullopt;
    }
    return schema::from_json<schema::lookup_answer>(result.response->body, address);
}

std::string next_address(const load_plan& plan, lookup_cache& cache) {
    const std::lock_guard guard(cache.mutex);
    ++cache.lookups;
    return plan.lookup_addresses[cache.next_address++ % plan.lookup_addresses.size()];
}

void refresh(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections) {
    for (std::size_t n = 0; n < plan.lookup_addresses.size(); ++n) {
        const auto answer = ask(plan, next_address(plan, cache), connections);
        if (!answer || answer->hosts.empty()) {
            continue;
        }
        const std::lock_guard guard(cache.mutex);
        cache.hosts.clear();
        for (const auto& it : answer->hosts) {
            cache.hosts.push_back(it->address);
        }
        cache.expires_at_unix_ms = answer->expires_at;
        return;
    }
}

std::vector<std::string> kept_hosts(lookup_cache& cache) {
    const std::lock_guard guard(cache.mutex);
    return cache.expires_at_unix_ms > common::unix_milliseconds() ? cache.hosts : std::vector<std::string>();
}

transport::http_call make_call(const load_plan& plan, const std::string& host,
                               const std::string& request_id) {
    transport::http_call call;
    call.address = host;
    call.head.method = plan.method;
    call.head.path = plan.path;
    call.head.headers = {{"x-request-id", request_id}};
    if (!plan.key.empty()) {
        call.head.headers.push_back({std::string(execution::key_header), plan.key});
    }
    call.body = transport::as_bytes(plan.body);
    call.deadline = monotonic::now() + milliseconds(plan.timeout_ms);
    return call;
}

request_end end_of_answer(const transport::http_response& answer) {
    const auto said = execution::find_header(answer.headers, "x-outcome");
    if (said.empty()) {
        return {
            answer.status < 500 ? outcome::answered : outcome::unknown, std::to_string(answer.status), 0, {}};
    }
    const auto refusal = schema::from_json<schema::refusal>(answer.body, "host");
    const auto reason = refusal ? refusal->reason : "malformed";
    return {said == "not_run" ? outcome::not_run : outcome::unknown, reason, 0, {}};
}

} // namespace

std::vector<std::string> current_hosts(const load_plan& plan, lookup_cache& cache,
                                       transport::connection_pool& connections) {
    auto hosts = kept_hosts(cache);
    if (hosts.empty()) {
        refresh(plan, cache, connections);
        hosts = kept_hosts(cache);
    }
    return hosts;
}

request_end send_request(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections,
                         std::string request_id) {
    const auto began_at = monotonic::now();
    request_end end{outcome::not_sent, "no host reachable", 0, request_id};
    for (const auto& host : current_hosts(plan, cache, connections)) {
        const auto result = transport::call_http(connections, make_call(plan, host, request_id));
        if (result.response) {
            end = end_of_answer(*result.response);
            break;
        }
        if (result.may_have_left) {
            end = {outcome::unknown, common::last_reason().text, 0, {}};
            break;
        }
    }
    end.request_id = std::move(request_id);
    end.latency_ms = common::seconds_between(began_at, monotonic::now()) * 1000;
    return end;
}

} // namespace lycheegap::load
