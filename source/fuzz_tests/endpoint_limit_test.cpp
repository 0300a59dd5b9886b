#include <doctest/doctest.h>

#include "core/gateway/limit_notices.h"
#include "core/traffic/load_sharing.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

namespace {

constexpr std::string_view limit_header = "limit";

std::unique_ptr<gateway::gateway_state> host_with_endpoint() {
    gateway::gateway_options options;
    options.headers.limit = limit_header;
    auto state = std::make_unique<gateway::gateway_state>(std::move(options));
    traffic::endpoint_entry entry;
    entry.id = "endpoint";
    entry.service = "desk";
    gateway::apply_endpoint(*state, entry);
    return state;
}

bool is_within_bounds(const std::optional<double>& limit) {
    return !limit || (*limit >= traffic::min_endpoint_limit && *limit <= traffic::max_endpoint_limit);
}

} // namespace

TEST_CASE("fuzz: limits that endpoints name") {
    const auto state = host_with_endpoint();
    const auto& endpoint = state->endpoints.set.by_id.at("endpoint");
    run_fuzz("endpoint_limits", [&](std::string_view input) {
        gateway::http::response_header<> head;
        head.result(gateway::http::status::ok);
        // A parsed head has no line ends in its values.
        if (input.find_first_of("\r\n") == std::string_view::npos) {
            head.set({limit_header.data(), limit_header.size()}, {input.data(), input.size()});
        }
        gateway::note_limit_in_head(*state, endpoint, head);
        CHECK(is_within_bounds(endpoint->limit.per_second));
    });
}

} // namespace lycheegap::fuzz_tests
