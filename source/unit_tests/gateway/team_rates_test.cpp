#include "core/gateway/team_rates.h"

#include <thread>

#include <doctest/doctest.h>

#include "core/schema/peer_codec.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

std::shared_ptr<traffic::configuration> configuration_with_rate() {
    auto made = std::make_shared<traffic::configuration>();
    made->version = 1;
    made->teams = {{"kite", 1, 100, 100, {}}};
    return made;
}

traffic::fleet_member member_named(const std::string& name) {
    traffic::fleet_member made;
    made.name = name;
    made.peer_address = name + ":1";
    made.request_address = name + ":2";
    return made;
}

/// State of a host that is the only member of its fleet and therefore a home of every team.
std::unique_ptr<gateway_state> single_host_fleet() {
    gateway_options options;
    options.host = "host-1";
    auto state = std::make_unique<gateway_state>(options);
    apply_configuration(*state, configuration_with_rate());
    apply_member(*state, member_named("host-1"));
    state->mirror.mirror.confirmed_at = common::boot_clock::now() + milliseconds(60'000);
    state->registered_until = (common::boot_clock::now() + milliseconds(60'000)).time_since_epoch().count();
    return state;
}

double tokens_lent(gateway_state& state) {
    const auto message = handle_rate_question(state, "kite", 4);
    const auto read = schema::decode<schema::peer_message>(message, "peer");
    const auto* answer = read ? read->body.Asrate_answer() : nullptr;
    REQUIRE(answer != nullptr);
    return answer->granted;
}

/// Waits until a new home may lend: the tokens that a former home lent have expired by then.
void wait_for_former_home_loans() {
    std::this_thread::sleep_for(traffic::home_wait + milliseconds(300));
}

/// Requests out of `count` at once that get a token.
int tokens_taken(gateway_state& state, int count) {
    const auto config = current_configuration(state);
    int taken = 0;
    for (int n = 0; n < count; ++n) {
        net::co_spawn(state.io, take_rate_token(state, config->teams.front()),
                      [&taken](const auto&, const auto& retry_after) { taken += retry_after ? 0 : 1; });
    }
    state.io.restart();
    state.io.run();
    return taken;
}

} // namespace

TEST_CASE("a host whose knowledge of the fleet is too old uses no part of a team's limit") {
    const auto state = single_host_fleet();
    // The knowledge is valid for 600 ms more.
    state->mirror.mirror.confirmed_at =
        common::boot_clock::now() - traffic::membership_validity + milliseconds(600);
    update_rate_rights(*state);
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(tokens_taken(*state, 1) == 1);
    std::this_thread::sleep_for(milliseconds(400));
    CHECK(tokens_taken(*state, 1) == 0);
    // Confirmed again, it has neither the tokens from before nor any for the time without a part.
    std::this_thread::sleep_for(milliseconds(500));
    state->mirror.mirror.confirmed_at = common::boot_clock::now();
    CHECK(tokens_taken(*state, 10) <= 1);
}

TEST_CASE("a home collects tokens from when it becomes one, not from the first request for them") {
    const auto state = single_host_fleet();
    update_rate_rights(*state);
    wait_for_former_home_loans();
    CHECK(tokens_lent(*state) == 4);
    // Without `update_rate_rights`, the wait begins at the first request for tokens.
    const auto without_update = single_host_fleet();
    wait_for_former_home_loans();
    CHECK(tokens_lent(*without_update) == 0);
}

TEST_CASE(
    "a home lends on while the store confirms nothing to other hosts either, but not without knowing that") {
    const auto state = single_host_fleet();
    apply_member(*state, member_named("host-2"));
    apply_member(*state, member_named("host-3"));
    update_rate_rights(*state);
    wait_for_former_home_loans();
    REQUIRE(tokens_lent(*state) > 0);
    // More tokens gather.
    std::this_thread::sleep_for(milliseconds(400));
    state->mirror.mirror.confirmed_at = common::boot_clock::now() - milliseconds(60'000);
    CHECK(tokens_lent(*state) == 0);
    note_outage_witness(*state, "host-2", common::boot_clock::now());
    CHECK(tokens_lent(*state) > 0);
    std::this_thread::sleep_for(milliseconds(400));
    // The answer is too old, as after a suspension.
    state->mirror.outage.witnesses.front().asked_at -= traffic::witness_validity;
    CHECK(tokens_lent(*state) == 0);
}

TEST_CASE("a home that has just seen most hosts leave needs as many witnesses of an outage as before") {
    const auto state = single_host_fleet();
    for (int n = 2; n <= 20; ++n) {
        apply_member(*state, member_named("host-" + std::to_string(n)));
    }
    std::vector<traffic::member_change> left;
    for (int n = 3; n <= 20; ++n) {
        left.push_back({"host-" + std::to_string(n), std::nullopt});
    }
    apply_members(*state, std::move(left), {});
    state->mirror.mirror.confirmed_at = common::boot_clock::now() - milliseconds(60'000);
    note_outage_witness(*state, "host-2", common::boot_clock::now());
    CHECK(home_valid_until(*state) < common::boot_clock::now());
}

TEST_CASE("a home whose own lease was not renewed lends nothing, although its view of the fleet is current") {
    const auto state = single_host_fleet();
    update_rate_rights(*state);
    wait_for_former_home_loans();
    CHECK(tokens_lent(*state) > 0);
    state->registered_until = (common::boot_clock::now() - milliseconds(1)).time_since_epoch().count();
    CHECK(tokens_lent(*state) == 0);
}

TEST_CASE("a host that is not a home, or whose members are no longer confirmed, lends nothing") {
    const auto state = single_host_fleet();
    update_rate_rights(*state);
    wait_for_former_home_loans();
    state->mirror.mirror.confirmed_at = common::boot_clock::now() - milliseconds(60'000);
    CHECK(tokens_lent(*state) == 0);
    state->mirror.mirror.confirmed_at = common::boot_clock::now() + milliseconds(60'000);
    for (int n = 2; n < 40; ++n) {
        apply_member(*state, member_named("host-" + std::to_string(n)));
    }
    const auto homes = traffic::homes_of(current_fleet(*state)->members, "kite");
    const bool is_home = std::find(homes.begin(), homes.end(), "host-1") != homes.end();
    update_rate_rights(*state);
    CHECK((tokens_lent(*state) > 0) == is_home);
}

} // namespace lycheegap::gateway
