#include "caller.h"

#include <mutex>

#include <fmt/format.h>

#include "core/common/last_reason.h"
#include "core/common/percent_encoding.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"

namespace lycheegap::load {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto lookup_timeout = milliseconds(1000);
constexpr auto outcome_query_timeout = milliseconds(2000);

std::optional<schema::lookup_answer_t> fetch_lookup(const load_plan& plan, const std::string& address,
                                                    transport::connection_pool& connections) {
    transport::http_call call;
    call.address = address;
    call.head.method = "GET";
    call.head.path = "/v1/lookup";
    call.head.query = plan.region.empty() ? "" : "region=" + common::percent_encode(plan.region);
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

void refresh_cache(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections) {
    for (std::size_t n = 0; n < plan.lookup_addresses.size(); ++n) {
        const auto answer = fetch_lookup(plan, next_address(plan, cache), connections);
        if (!answer || answer->hosts.empty()) {
            continue;
        }
        const std::lock_guard guard(cache.mutex);
        cache.hosts.clear();
        for (const auto& it : answer->hosts) {
            cache.hosts.push_back(it->address);
        }
        cache.ticket = answer->ticket;
        cache.expires_at_unix_ms = answer->expires_at;
        return;
    }
}

lookup_result cached_lookup(lookup_cache& cache) {
    const std::lock_guard guard(cache.mutex);
    const bool is_valid = cache.expires_at_unix_ms > common::unix_milliseconds();
    return is_valid ? lookup_result{cache.hosts, cache.ticket} : lookup_result();
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

request_result classify_response(const transport::http_response& answer) {
    const auto stated_outcome = execution::find_header(answer.headers, "x-outcome");
    if (stated_outcome.empty()) {
        return {
            answer.status < 500 ? outcome::answered : outcome::unknown, std::to_string(answer.status), 0, {}};
    }
    const auto refusal = schema::from_json<schema::refusal>(answer.body, "host");
    const auto reason = refusal ? refusal->reason : "malformed";
    return {stated_outcome == "not_run" ? outcome::not_run : outcome::unknown, reason, 0, {}};
}

/// Sends the request to one host. Empty when no byte of it was sent, so that another host can be tried.
std::optional<request_result> send_to_host(const load_plan& plan, const std::string& host,
                                           transport::connection_pool& connections,
                                           const std::string& request_id) {
    const auto result = transport::call_http(connections, make_call(plan, host, request_id));
    if (result.response) {
        return classify_response(*result.response);
    }
    if (result.may_have_been_sent) {
        return request_result{outcome::unknown, common::last_reason().text, 0, {}};
    }
    return std::nullopt;
}

/// Queries the outcome of a request from each host in turn. Leaves `end` unchanged when no host knows it.
void query_outcome(const lookup_result& lookup, transport::connection_pool& connections,
                   const std::string& request_id, request_result& end) {
    for (const auto& host : lookup.addresses) {
        transport::http_call call;
        call.address = host;
        call.head.method = "GET";
        call.head.path = "/v1/outcomes/" + request_id;
        call.deadline = monotonic::now() + outcome_query_timeout;
        const auto result = transport::call_http(connections, call);
        if (!result.response || result.response->status != 200) {
            continue;
        }
        const auto report = schema::from_json<schema::outcome_report>(result.response->body, host);
        if (report && report->state == "answered") {
            end = {outcome::answered, fmt::format("{} by inquiry", report->status), 0, {}};
            return;
        }
        if (report && report->state == "not_run") {
            end = {outcome::not_run, "by inquiry", 0, {}};
            return;
        }
    }
}

} // namespace

lookup_result find_hosts(const load_plan& plan, lookup_cache& cache,
                         transport::connection_pool& connections) {
    auto lookup = cached_lookup(cache);
    if (lookup.addresses.empty()) {
        refresh_cache(plan, cache, connections);
        lookup = cached_lookup(cache);
    }
    return lookup;
}

request_result send_request(const load_plan& plan, lookup_cache& cache,
                            transport::connection_pool& connections, std::uint64_t counter) {
    const auto started_at = monotonic::now();
    request_result end{outcome::not_sent, "no host reachable", 0, {}};
    const auto lookup = find_hosts(plan, cache, connections);
    const auto& id_prefix = lookup.ticket.empty() ? fmt::format("load{}", plan.seed) : lookup.ticket;
    const auto request_id = fmt::format("{}.{}", id_prefix, counter);
    for (const auto& host : lookup.addresses) {
        if (const auto sent = send_to_host(plan, host, connections, request_id)) {
            end = *sent;
            if (end.final_outcome != outcome::unknown) {
                break;
            }
        }
    }
    if (end.final_outcome == outcome::unknown && !lookup.ticket.empty()) {
        query_outcome(lookup, connections, request_id, end);
    }
    end.request_id = request_id;
    end.latency_ms = common::seconds_between(started_at, monotonic::now()) * 1000;
    return end;
}

} // namespace lycheegap::load
