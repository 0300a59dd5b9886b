#include <mutex>

#include <doctest/doctest.h>

#include "core/host/host_state.h"
#include "core/host/serve_lookup.h"
#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"

namespace lycheegap::host {

namespace {

void set_members(host_state& host, std::uint64_t number, bool first_leaves) {
    membership::generation next;
    for (const auto* name : {"vestkyst-1", "vestkyst-2", "nordjylland-1"}) {
        membership::member it;
        it.name = std::string("host-") + name;
        it.failure_domain = name;
        it.region = it.failure_domain.substr(0, it.failure_domain.rfind('-'));
        it.request_address = std::string(name) + ":80";
        it.leaving = first_leaves && it.failure_domain == "vestkyst-1";
        next = membership::with_member(next, it);
    }
    next.number = number;
    const std::lock_guard guard(host.membership.mutex);
    host.membership.current = std::make_shared<const membership::generation>(std::move(next));
}

schema::lookup_answer_t look_up(host_state& host, const char* peer, const char* query) {
    transport::http_request request;
    request.head.path = "/v1/lookup";
    request.head.query = query;
    request.peer = peer;
    const auto answer = serve_lookup(host, request);
    const auto parsed = schema::from_json<schema::lookup_answer>(answer.body, "host");
    REQUIRE(parsed);
    return *parsed;
}

} // namespace

TEST_CASE("look-up answers: place, expiry, ticket, and never a leaving host") {
    host_state host;
    host.outcomes.memories[0] = execution::make_outcome_memory(0, common::monotonic::now(), {});
    CHECK(look_up(host, "10.0.0.1", "").hosts.empty());
    set_members(host, 1, false);
    const auto before = common::unix_milliseconds();
    const auto answer = look_up(host, "10.0.0.1", "failure_domain=vestkyst-1");
    CHECK(answer.expires_at > before);
    CHECK_FALSE(answer.ticket.empty());
    REQUIRE(answer.hosts.size() == 3);
    CHECK(answer.hosts[0]->address == "vestkyst-1:80");
    CHECK(answer.hosts[1]->address == "vestkyst-2:80");
    CHECK(answer.hosts[0]->weight > answer.hosts[1]->weight);
    set_members(host, 2, true);
    const auto later = look_up(host, "10.0.0.1", "failure_domain=vestkyst-1");
    REQUIRE(later.hosts.size() == 2);
    CHECK(later.hosts[0]->address == "vestkyst-2:80");
    CHECK(look_up(host, "10.0.0.1", "region=nowhere").hosts.size() == 2);
}

TEST_CASE("look-up answers: the site of the caller's address block overrides the place named in the query") {
    host_state host;
    host.outcomes.memories[0] = execution::make_outcome_memory(0, common::monotonic::now(), {});
    set_members(host, 1, false);
    client_blocks blocks;
    blocks.sites = {{"aalborg", "nordjylland", "nordjylland-1"}};
    const std::vector<steering::client_block> list = {{0x0a000000, 8, 0}};
    blocks.map = steering::make_block_map(list);
    host.lookups.blocks = std::make_shared<const client_blocks>(std::move(blocks));
    CHECK(look_up(host, "10.1.2.3", "region=vestkyst").hosts[0]->address == "nordjylland-1:80");
    CHECK(look_up(host, "11.1.2.3", "region=vestkyst").hosts[0]->region == "vestkyst");
}

} // namespace lycheegap::host
