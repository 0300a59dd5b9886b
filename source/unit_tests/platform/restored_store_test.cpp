#include <algorithm>
#include <thread>

#include <doctest/doctest.h>

#include "following_fleet.h"

namespace lycheegap::platform {

namespace {

constexpr int apply_limit_ms = 2500;
constexpr int start_limit_ms = 10'000;
// Leases that the copy lacks are granted anew within this time.
constexpr int registration_limit_ms = 5000;

bool has_version(const in_process_host& host, std::int64_t version) {
    return configuration_version(host) == version;
}

bool is_vacated(const in_process_host& host, std::string_view domain) {
    auto& state = host.state();
    const std::lock_guard guard(state.endpoints.mutex);
    return state.endpoints.set.vacated_domains.contains(domain);
}

void put_configuration(in_process_fleet& fleet, int version) {
    stand_ins::put_item(fleet.store, "op/config", configuration_text(version));
}

/// Waits until all hosts know each other and have the first configuration, and keeps a copy of the store.
void start_with_copy(in_process_fleet& fleet) {
    put_configuration(fleet, 1);
    const auto count = fleet.hosts.size();
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [&](const auto& it) {
        return has_version(it, 1) && member_count(it) == count;
    }));
    stand_ins::keep_copy(fleet.store);
}

/// Writes that the copy lacks: version 2 and heartbeats.
void write_beyond_copy(in_process_fleet& fleet) {
    for (int n = 1; n < 40; ++n) {
        stand_ins::put_item(fleet.store, "servers/busy", endpoint_text("ready", 1, n));
    }
    put_configuration(fleet, 2);
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 2); }));
}

/// The store is away for a moment and comes back from the copy.
void restore(in_process_fleet& fleet) {
    stand_ins::set_faults(fleet.store, {.outage = true});
    std::this_thread::sleep_for(common::milliseconds(500));
    stand_ins::restore_copy(fleet.store);
    stand_ins::set_faults(fleet.store, {});
}

} // namespace

// Guards against hosts that compare revisions from before and after the restore: they dropped all that the
// store said until its revisions had passed the old ones.
TEST_CASE("a change after the store came back from an older copy reaches all hosts in time") {
    in_process_fleet fleet(5);
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    restore(fleet);
    put_configuration(fleet, 2);
    put_configuration(fleet, 3);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 3); }));
    CHECK(
        all_hosts_within(fleet, registration_limit_ms, [](const auto& it) { return member_count(it) == 5; }));
    put_configuration(fleet, 4);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 4); }));
}

// Guards against a watch from an old revision that the store has given out again meanwhile: it is no error,
// and what was written before it is missed.
TEST_CASE("a change is seen when the restored store has passed the old revisions before a host looks again") {
    in_process_fleet fleet(3);
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    stand_ins::set_faults(fleet.store, {.outage = true});
    std::this_thread::sleep_for(common::milliseconds(500));
    stand_ins::restore_copy(fleet.store);
    put_configuration(fleet, 3);
    for (int n = 100; n < 250; ++n) {
        stand_ins::put_item(fleet.store, "servers/busy", endpoint_text("ready", 1, n));
    }
    stand_ins::set_faults(fleet.store, {});
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 3); }));
}

TEST_CASE("a second restore soon after the first one loses no change that was written after it") {
    in_process_fleet fleet(3);
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    restore(fleet);
    put_configuration(fleet, 3);
    restore(fleet);
    put_configuration(fleet, 4);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 4); }));
}

// Guards against an older configuration that comes back with the copy.
TEST_CASE("no host goes back to the configuration of the copy, nor does one that starts after the restore") {
    in_process_fleet fleet(4);
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    restore(fleet);
    CHECK_FALSE(holds_within(2000, [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [](const auto& it) { return !has_version(*it, 2); });
    }));
    auto& late = fleet.add_host();
    CHECK(holds_within(start_limit_ms, [&] { return has_version(late, 2); }));
    CHECK_FALSE(holds_within(1000, [&] { return !has_version(late, 2); }));
}

// Guards against endpoints that come back into use because the copy is older than what they have said.
TEST_CASE("an endpoint that is leaving, or gone, is not used again by its entry in the copy") {
    in_process_fleet fleet(3);
    put_configuration(fleet, 1);
    stand_ins::put_item(fleet.store, "servers/leaving", endpoint_text("ready", 1, 1));
    stand_ins::put_item(fleet.store, "servers/gone", endpoint_text("ready", 1, 1));
    const auto knows_both = [](const auto& it) {
        return knows_endpoint(it, "leaving") && knows_endpoint(it, "gone");
    };
    REQUIRE(all_hosts_within(fleet, start_limit_ms, knows_both));
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    stand_ins::put_item(fleet.store, "servers/leaving", endpoint_text("draining", 1, 7));
    stand_ins::remove_item(fleet.store, "servers/gone");
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) {
        return is_leaving(it, "leaving") && !knows_endpoint(it, "gone");
    }));
    restore(fleet);
    put_configuration(fleet, 3);
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 3); }));
    CHECK_FALSE(holds_within(1500, [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(), [](const auto& it) {
            return !is_leaving(*it, "leaving") || knows_endpoint(*it, "gone");
        });
    }));
    // The same start says so itself, and another start is another endpoint.
    stand_ins::put_item(fleet.store, "servers/leaving", endpoint_text("ready", 1, 8));
    stand_ins::put_item(fleet.store, "servers/gone", endpoint_text("ready", 2, 1));
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) {
        return !is_leaving(it, "leaving") && knows_endpoint(it, "gone");
    }));
}

// Guards against an order that is taken for the one that had ended before the restore.
TEST_CASE("a domain that was vacated before the restore can be vacated again after it") {
    in_process_fleet fleet(3);
    stand_ins::put_item(fleet.store, "op/evacuate/north", "{}");
    put_configuration(fleet, 1);
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [](const auto& it) { return is_vacated(it, "north"); }));
    stand_ins::remove_item(fleet.store, "op/evacuate/north");
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return !is_vacated(it, "north"); }));
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    restore(fleet);
    stand_ins::put_item(fleet.store, "op/evacuate/north", "{}");
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return is_vacated(it, "north"); }));
}

// Guards against requests to a domain that is being vacated, because the copy lacks the order.
TEST_CASE("a vacated domain stays vacated until the operator could write the order again") {
    in_process_fleet fleet(3);
    start_with_copy(fleet);
    write_beyond_copy(fleet);
    stand_ins::put_item(fleet.store, "op/evacuate/north", "{}");
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return is_vacated(it, "north"); }));
    restore(fleet);
    CHECK_FALSE(holds_within(4000, [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [](const auto& it) { return !is_vacated(*it, "north"); });
    }));
    stand_ins::put_item(fleet.store, "op/evacuate/north", "{}");
    std::this_thread::sleep_for(common::milliseconds(1000));
    stand_ins::remove_item(fleet.store, "op/evacuate/north");
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return !is_vacated(it, "north"); }));
}

} // namespace lycheegap::platform
