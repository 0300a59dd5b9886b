#include "serve_lookup.h"

#include "core/common/digest.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"
#include "core/steering/lookup.h"
#include "host_state.h"

namespace lycheegap::host {

namespace {

constexpr std::size_t hosts_per_answer = 4;
constexpr std::int64_t answer_lifetime_ms = 5000;
constexpr int status_not_found = 404;

std::unique_ptr<schema::lookup_host_t> make_host(const steering::host_choice& choice) {
    auto record = std::make_unique<schema::lookup_host_t>();
    record->name = choice.chosen->name;
    record->address = choice.chosen->request_address;
    record->region = choice.chosen->region;
    record->weight = choice.weight;
    return record;
}

} // namespace

transport::http_response serve_lookup(host_state& host, const transport::http_request& request) {
    if (request.head.path != "/v1/lookup") {
        return {status_not_found, {}, "unknown path"};
    }
    common::count(host.metrics, "lookups");
    const steering::caller_place place{transport::query_parameter(request.head.query, "region"),
                                       transport::query_parameter(request.head.query, "failure_domain")};
    const auto members = current_generation(host);
    const auto seed = common::stable_hash(request.peer);
    schema::lookup_answer_t answer;
    answer.expires_at = common::unix_milliseconds() + answer_lifetime_ms;
    answer.ticket = new_ticket(host);
    for (const auto& it : steering::order_hosts(*members, place, seed, hosts_per_answer)) {
        answer.hosts.push_back(make_host(it));
    }
    return transport::json_response(200, schema::to_json<schema::lookup_answer>(answer));
}

} // namespace lycheegap::host
