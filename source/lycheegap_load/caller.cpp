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
constexpr auto inquiry_timeout = milliseconds(2000);

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
        cache.ticket = answer->ticket;
        cache.expires_at_unix_ms = answer->expires_at;
        return;
    }
}

known_hosts kept_hosts(lookup_cache& cache) {
    const std::lock_guard guard(cache.mutex);
    const bool is_fresh = cache.expires_at_unix_ms > common::unix_milliseconds();
    return is_fresh ? known_hosts{cache.hosts, cache.ticket} : known_hosts();
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

/// Sends to one host; empty when the request did not leave.
std::optional<request_end> send_to(const load_plan& plan, const std::string& host,
                                   transport::connection_pool& connections, const std::string& request_id) {
    const auto result = transport::call_http(connections, make_call(plan, host, request_id));
    if (result.response) {
        return end_of_answer(*result.response);
    }
    if (result.may_have_left) {
        return request_end{outcome::unknown, common::last_reason().text, 0, {}};
    }
    return std::nullopt;
}

/// Asks the hosts in turn how the request ended; unchanged when nobody can tell.
void inquire(const known_hosts& known, transport::connection_pool& connections, const std::string& request_id,
             request_end& end) {
    for (const auto& host : known.addresses) {
        transport::http_call call;
        call.address = host;
        call.head.method = "GET";
        call.head.path = "/v1/outcomes/" + request_id;
        call.deadline = monotonic::now() + inquiry_timeout;
        const auto result = transport::call_http(connections, call);
        if (!result.response || result.response->status != 200) {
            continue;
        }
        const auto told = schema::from_json<schema::outcome_report>(result.response->body, host);
        if (told && told->state == "answered") {
            end = {outcome::answered, fmt::format("{} by inquiry", told->status), 0, {}};
            return;
        }
        if (told && told->state == "not_run") {
            end = {outcome::not_run, "by inquiry", 0, {}};
            return;
        }
    }
}

} // namespace

known_hosts current_hosts(const load_plan& plan, lookup_cache& cache,
                          transport::connection_pool& connections) {
    auto known = kept_hosts(cache);
    if (known.addresses.empty()) {
        refresh(plan, cache, connections);
        known = kept_hosts(cache);
    }
    return known;
}

request_end send_request(const load_plan& plan, lookup_cache& cache, transport::connection_pool& connections,
                         std::uint64_t counter) {
    const auto began_at = monotonic::now();
    request_end end{outcome::not_sent, "no host reachable", 0, {}};
    const auto known = current_hosts(plan, cache, connections);
    const auto& source = known.ticket.empty() ? fmt::format("load{}", plan.seed) : known.ticket;
    const auto request_id = fmt::format("{}.{}", source, counter);
    for (const auto& host : known.addresses) {
        if (const auto sent = send_to(plan, host, connections, request_id)) {
            end = *sent;
            if (end.how != outcome::unknown) {
                break;
            }
        }
    }
    if (end.how == outcome::unknown && !known.ticket.empty()) {
        inquire(known, connections, request_id, end);
    }
    end.request_id = request_id;
    end.latency_ms = common::seconds_between(began_at, monotonic::now()) * 1000;
    return end;
}

} // namespace lycheegap::load
