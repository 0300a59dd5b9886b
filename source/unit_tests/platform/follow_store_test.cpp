#include "platform/follow_store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "following_fleet.h"

namespace lycheegap::platform {

namespace {

// Required time for a configuration to take effect on hosts that can reach the store or a relay: the shorter
// of the users' bounds.
constexpr int apply_limit_ms = 2500;
constexpr int start_limit_ms = 10'000;
// Removed endpoints are kept for this time after the store has recovered.
constexpr int reregistration_ms = 2000;

bool has_version(const in_process_host& host, std::int64_t version) {
    return configuration_version(host) == version;
}

/// Waits until all hosts know each other and have the first configuration.
void wait_for_start(in_process_fleet& fleet) {
    stand_ins::put_item(fleet.store, "op/config", configuration_text(1));
    const auto count = fleet.hosts.size();
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [&](const auto& it) {
        return has_version(it, 1) && member_count(it) == count;
    }));
}

void change_configuration(in_process_fleet& fleet, int version) {
    stand_ins::put_item(fleet.store, "op/config", configuration_text(version));
}

// A relay on a link of 10 Mbit/s that serves a third of 870 hosts within the 11 s for a change may send each
// of them this much of a version.
constexpr std::uint64_t max_version_bytes = 10'000'000 / 8 * 11 / (870 / 3);

/// JSON of a configuration with 1,400 routes; each version changes one of them.
std::string large_configuration_text(int version) {
    std::uint64_t random = 1;
    std::string routes;
    for (int n = 0; n < 1400; ++n) {
        random = random * 6364136223846793005U + 1442695040888963407U;
        routes += fmt::format(
            R"(,{{"resource_kind":"routes","metadata":{{"name":"r-{0:016x}"}},"spec":{{"host":"h{0:x}.example",)"
            R"("prefix":"/p{0:x}/","kind":"safe","max_attempts":2,"timeout_s":{1},"priority":{2},)"
            R"("target_latency_s":0.4,"session_affinity":false,"public":false,"service":"desk"}}}})",
            random, n == version ? 7 : 3, n % 4);
    }
    return fmt::format(
        R"({{"version":{},"resources":[{{"resource_kind":"tenants","metadata":{{"name":"t1"}},)"
        R"("spec":{{"api_keys":["k1"]}}}}{}]}})",
        version, routes);
}

/// Sum of a counter over all hosts.
std::uint64_t count_of(const in_process_fleet& fleet, std::string_view counter) {
    std::uint64_t all = 0;
    for (const auto& host : fleet.hosts) {
        for (const auto& it : common::read_metrics(host->state().metrics)) {
            all += it.name == counter ? it.count : 0;
        }
    }
    return all;
}

/// Bytes of all answers that the hosts sent to each other about the store.
std::uint64_t bytes_between_hosts(const in_process_fleet& fleet) {
    return count_of(fleet, "mirror_answer_bytes");
}

} // namespace

// Guards against relays that send every host the whole of a large configuration for each change: their links
// were full, and hosts acted on old routes, endpoints and keys.
TEST_CASE("a change of a large configuration sends the other hosts little more than the change") {
    constexpr int version_count = 5;
    in_process_fleet fleet(6);
    wait_for_start(fleet);
    stand_ins::put_item(fleet.store, "op/config", large_configuration_text(2));
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [](const auto& it) { return has_version(it, 2); }));
    const auto before = bytes_between_hosts(fleet);
    for (int version = 3; version < 3 + version_count; ++version) {
        stand_ins::put_item(fleet.store, "op/config", large_configuration_text(version));
        CHECK(all_hosts_within(fleet, start_limit_ms,
                               [&](const auto& it) { return has_version(it, version); }));
    }
    const auto hosts_at_relays = fleet.hosts.size() - fleet.relay_names().size();
    CHECK(bytes_between_hosts(fleet) - before <= max_version_bytes * version_count * hosts_at_relays);
}

// Guards against questions without a pause to hosts that answer at once, because their own copies are too old
// or they are asked as neighbours: thousands a second, which took the processors of small hosts.
TEST_CASE("in an outage of the store hosts ask each other a few times a second") {
    // Every 200 ms up to three relays and one neighbour; hosts that left, every 400 ms.
    constexpr std::uint64_t max_questions_per_s = 5 * 4 + 3;
    constexpr std::uint64_t seconds = 4;
    in_process_fleet fleet(6);
    wait_for_start(fleet);
    stand_ins::set_faults(fleet.store, {.outage = true});
    const auto before = count_of(fleet, "relay_questions");
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    CHECK(count_of(fleet, "relay_questions") - before <= max_questions_per_s * seconds * fleet.hosts.size());
}

// Guards against questions without a pause to a relay whose copy has changes beyond its revision, since the
// store changed while the relay read it page by page.
TEST_CASE("hosts ask a relay that read the store in pages a few times a second") {
    // As in an outage of the store.
    constexpr std::uint64_t max_questions_per_s = 5 * 4 + 3;
    constexpr std::uint64_t seconds = 3;
    in_process_fleet fleet(5);
    wait_for_start(fleet);
    stand_ins::set_page_items(fleet.store, 1);
    // Watches do not confirm what the pages show.
    stand_ins::set_faults(fleet.store, {.suppresses_events = true, .delay_ms = 60});
    change_configuration(fleet, 2);
    stand_ins::drop_history(fleet.store);
    const auto before = count_of(fleet, "relay_questions");
    for (int n = 0; n < 8; ++n) {
        stand_ins::put_item(fleet.store, fmt::format("servers/z{}", n), endpoint_text());
        std::this_thread::sleep_for(common::milliseconds(50));
    }
    std::this_thread::sleep_for(std::chrono::seconds(seconds - 1));
    CHECK(count_of(fleet, "relay_questions") - before <= max_questions_per_s * seconds * fleet.hosts.size());
    stand_ins::set_faults(fleet.store, {});
    change_configuration(fleet, 3);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 3); }));
}

TEST_CASE("a configuration change reaches all hosts of a fleet with three relays in time") {
    in_process_fleet fleet(6);
    wait_for_start(fleet);
    change_configuration(fleet, 5);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 5); }));
    CHECK(fleet.relay_names().size() == 3);
}

TEST_CASE("a change hidden from watches reaches all hosts after the store reports lost history") {
    in_process_fleet fleet(2);
    wait_for_start(fleet);
    stand_ins::set_faults(fleet.store, {.suppresses_events = true});
    change_configuration(fleet, 2);
    // Watches return no changes, although the store's revision has advanced.
    CHECK_FALSE(all_hosts_within(fleet, 1500, [](const auto& it) { return has_version(it, 2); }));
    stand_ins::drop_history(fleet.store);
    stand_ins::set_faults(fleet.store, {});
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 2); }));
}

TEST_CASE("hosts that the store refuses get changes through a relay") {
    in_process_fleet fleet(6);
    wait_for_start(fleet);
    const auto relays = fleet.relay_names();
    for (const auto& it : fleet.hosts) {
        // Two of the three relays, and the first host.
        it->listener.refusing =
            it->name == relays[0] || it->name == relays[1] || it->name == fleet.hosts[0]->name;
    }
    change_configuration(fleet, 3);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 3); }));
}

TEST_CASE("hosts find new relays when all three relays crash at once") {
    in_process_fleet fleet(7);
    wait_for_start(fleet);
    for (const auto& it : fleet.relay_names()) {
        fleet.stop_host(it, false);
    }
    REQUIRE(fleet.hosts.size() == 4);
    change_configuration(fleet, 4);
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 4); }));
    CHECK(all_hosts_within(fleet, start_limit_ms, [](const auto& it) { return member_count(it) == 4; }));
}

TEST_CASE(
    "a store outage keeps the configuration in force, and a change made meanwhile takes effect after it") {
    in_process_fleet fleet(4);
    wait_for_start(fleet);
    change_configuration(fleet, 6);
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 6); }));
    stand_ins::set_faults(fleet.store, {.outage = true, .leases_run = true});
    change_configuration(fleet, 7);
    CHECK_FALSE(holds_within(2500, [&] { return configuration_version(*fleet.hosts[0]) != 6; }));
    stand_ins::set_faults(fleet.store, {});
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return has_version(it, 7); }));
    CHECK(all_hosts_within(fleet, start_limit_ms, [](const auto& it) { return member_count(it) == 4; }));
}

TEST_CASE("endpoints whose leases expired in a store outage are kept until they had time to register again") {
    in_process_fleet fleet(4);
    wait_for_start(fleet);
    stand_ins::put_item(fleet.store, "servers/back", endpoint_text());
    stand_ins::put_item(fleet.store, "servers/gone", endpoint_text());
    const auto knows_both = [](const auto& it) {
        return knows_endpoint(it, "back") && knows_endpoint(it, "gone");
    };
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, knows_both));
    stand_ins::set_faults(fleet.store, {.outage = true});
    REQUIRE_FALSE(holds_within(1000, [&] { return !knows_both(*fleet.hosts[0]); }));
    stand_ins::remove_item(fleet.store, "servers/back");
    stand_ins::remove_item(fleet.store, "servers/gone");
    stand_ins::set_faults(fleet.store, {});
    const auto dropped = [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [&](const auto& it) { return !knows_both(*it); });
    };
    CHECK_FALSE(holds_within(1000, dropped));
    stand_ins::put_item(fleet.store, "servers/back", endpoint_text());
    CHECK(all_hosts_within(fleet, reregistration_ms + apply_limit_ms,
                           [](const auto& it) { return !knows_endpoint(it, "gone"); }));
    CHECK_FALSE(holds_within(1000, [&] {
        return std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [](const auto& it) { return !knows_endpoint(*it, "back"); });
    }));
}

TEST_CASE("a change takes effect in time after the store has stopped losing responses") {
    in_process_fleet fleet(4);
    wait_for_start(fleet);
    stand_ins::set_faults(fleet.store, {.loses_answers = true});
    change_configuration(fleet, 8);
    std::this_thread::sleep_for(common::milliseconds(2000));
    stand_ins::set_faults(fleet.store, {});
    // 4000 ms for the store to count as stable again, then the usual limit.
    CHECK(all_hosts_within(fleet, 4000 + apply_limit_ms, [](const auto& it) { return has_version(it, 8); }));
}

TEST_CASE("a host that stops gracefully leaves the fleet at once") {
    in_process_fleet fleet(3);
    wait_for_start(fleet);
    const std::string name = fleet.hosts.back()->name;
    fleet.stop_host(name, true);
    CHECK(all_hosts_within(fleet, 500, [](const auto& it) { return member_count(it) == 2; }));
}

TEST_CASE("a host that the store refuses soon after its start gets changes through a relay") {
    in_process_fleet fleet(4);
    wait_for_start(fleet);
    stand_ins::put_item(fleet.store, "servers/e1", endpoint_text());
    auto& late = fleet.add_host();
    REQUIRE(holds_within(start_limit_ms, [&] { return has_version(late, 1); }));
    late.listener.refusing = true;
    change_configuration(fleet, 2);
    CHECK(holds_within(apply_limit_ms, [&] { return has_version(late, 2); }));
}

// Guards against hosts that take the store to be away for all, because the only hosts that it serves were
// silent for a while, left the fleet and came back unseen.
TEST_CASE("hosts that the store refuses hear from a host that left the fleet and came back") {
    in_process_fleet fleet(4);
    wait_for_start(fleet);
    auto& back = *fleet.hosts.front();
    // Its lease runs out.
    back.listener.refusing = true;
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [](const auto& it) { return member_count(it) == 3; }));
    for (const auto& it : fleet.hosts) {
        it->listener.refusing = true;
    }
    // Watches that have begun end.
    std::this_thread::sleep_for(common::milliseconds(1500));
    back.listener.refusing = false;
    change_configuration(fleet, 2);
    CHECK(all_hosts_within(fleet, apply_limit_ms + start_limit_ms,
                           [](const auto& it) { return has_version(it, 2); }));
}

TEST_CASE("changes of an endpoint reach all hosts after many heartbeats") {
    in_process_fleet fleet(5);
    wait_for_start(fleet);
    stand_ins::put_item(fleet.store, "servers/e1", endpoint_text());
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return knows_endpoint(it, "e1"); }));
    for (int n = 2; n < 30; ++n) {
        stand_ins::put_item(fleet.store, "servers/e1", endpoint_text("ready", 1, n));
        std::this_thread::sleep_for(common::milliseconds(20));
    }
    stand_ins::put_item(fleet.store, "servers/e1", endpoint_text("draining", 1, 30));
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return is_leaving(it, "e1"); }));
    stand_ins::remove_item(fleet.store, "servers/e1");
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return !knows_endpoint(it, "e1"); }));
}

} // namespace lycheegap::platform
