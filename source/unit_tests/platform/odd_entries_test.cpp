#include <algorithm>
#include <array>
#include <future>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/transport/http_server.h"
#include "following_fleet.h"
#include "platform/decode.h"
#include "platform/store_calls.h"

namespace lycheegap::platform {

namespace {

constexpr int apply_limit_ms = 2500;
constexpr int start_limit_ms = 10'000;
// Leases that a copy of the store lacks are granted anew within this time.
constexpr int registration_limit_ms = 5000;

/// Parts of names that a query, JSON, a header or a log line may not carry as they are.
constexpr std::array<std::string_view, 24> odd_parts = {
    "&",        "+",  "#",    "%",    "%2",           "%41",      " ",        "=",
    "?",        "/",  "\"",   "\\",   "&a=b",         "\x01",     "\x1f",     "\x7f",
    "\xc3\xa9", "\n", "\xff", "\xc3", "\xed\xa0\x80", "\xf0\x9f", "\r\nx: y", "\t"};

std::string odd_key(std::string_view prefix, std::string_view part) {
    return fmt::format("{}m{}z", prefix, part);
}

/// Writes what another writer may leave in the list of endpoints.
void put_odd_entries(in_process_fleet& fleet) {
    for (const auto part : odd_parts) {
        stand_ins::put_item(fleet.store, odd_key("servers/", part), "by another writer");
    }
}

/// Writes an endpoint before and one after the odd entries, in the order of keys.
void put_endpoints(in_process_fleet& fleet) {
    stand_ins::put_item(fleet.store, "servers/a", endpoint_text());
    stand_ins::put_item(fleet.store, "servers/z", endpoint_text());
}

bool knows_endpoints(const in_process_host& host) {
    return knows_endpoint(host, "a") && knows_endpoint(host, "z");
}

bool knows_odd_endpoint(const in_process_host& host) {
    return std::any_of(odd_parts.begin(), odd_parts.end(),
                       [&](auto part) { return knows_endpoint(host, odd_key("", part)); });
}

void start_fleet(in_process_fleet& fleet) {
    stand_ins::put_item(fleet.store, "op/config", configuration_text(1));
    const auto count = fleet.hosts.size();
    REQUIRE(all_hosts_within(fleet, start_limit_ms, [&](const auto& it) {
        return configuration_version(it) == 1 && member_count(it) == count;
    }));
}

std::uint64_t calls_of(stand_ins::platform_store& store) {
    const std::lock_guard guard(store.mutex);
    return store.calls;
}

/// Keys of the page that the store returns after `after`.
std::vector<std::string> keys_after(std::string_view store_address, std::string_view prefix,
                                    std::string_view after) {
    gateway::net::io_context io;
    store_client client{.io = &io, .address = std::string(store_address), .connection = {}};
    auto read = gateway::net::co_spawn(io, read_range(client, prefix, after), gateway::net::use_future);
    io.run();
    std::vector<std::string> keys;
    for (auto& it : read.get().value.items) {
        keys.push_back(std::move(it.key));
    }
    return keys;
}

} // namespace

// Guards against keys that a query carries as something else: the wrong page came, or none.
TEST_CASE("a range goes on after a key with any byte, and reads only keys with its prefix") {
    stand_ins::platform_store store;
    auto server = transport::start_http_server({.address = "127.0.0.1"}, [&](const auto& request) {
        return stand_ins::serve_platform_store(store, request);
    });
    REQUIRE(server);
    const auto address = fmt::format("127.0.0.1:{}", server->port());
    for (int byte = 0; byte < 256; ++byte) {
        stand_ins::put_item(store, fmt::format("servers/m{}z", static_cast<char>(byte)), "");
    }
    stand_ins::set_page_items(store, 1);
    std::string after = "servers/";
    for (int byte = 0; byte < 256; ++byte) {
        CAPTURE(byte);
        const auto keys = keys_after(address, "servers/", after);
        REQUIRE(keys.size() == 1);
        CHECK(keys[0] == fmt::format("servers/m{}z", static_cast<char>(byte)));
        CHECK(keys_after(address, keys[0], "") == keys);
        after = keys[0];
    }
}

// Guards against a configuration that never arrives: the read of a list that takes more than one page stopped
// at the odd entry.
TEST_CASE("hosts that start beside odd entries of endpoints get all others") {
    in_process_fleet fleet(0);
    // Each entry is the last of a page.
    stand_ins::set_page_items(fleet.store, 1);
    put_odd_entries(fleet);
    put_endpoints(fleet);
    stand_ins::put_item(fleet.store, "op/config", configuration_text(1));
    for (int n = 0; n < 3; ++n) {
        fleet.add_host();
    }
    CHECK(all_hosts_within(fleet, start_limit_ms, [](const auto& it) {
        return configuration_version(it) == 1 && knows_endpoints(it) && member_count(it) == 3;
    }));
    CHECK_FALSE(std::any_of(fleet.hosts.begin(), fleet.hosts.end(),
                            [](const auto& it) { return knows_odd_endpoint(*it); }));
}

// Guards against a watch that one odd event makes unreadable for good.
TEST_CASE("changes beside odd entries reach all hosts, by watches and through relays") {
    in_process_fleet fleet(5);
    start_fleet(fleet);
    put_odd_entries(fleet);
    put_endpoints(fleet);
    stand_ins::put_item(fleet.store, "op/config", configuration_text(2));
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) {
        return configuration_version(it) == 2 && knows_endpoints(it) && !knows_odd_endpoint(it);
    }));
    stand_ins::remove_item(fleet.store, odd_key("servers/", "\xff"));
    stand_ins::remove_item(fleet.store, "servers/a");
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) { return !knows_endpoint(it, "a"); }));
}

// Guards against a restored store that no host can read, since odd entries came back with it.
TEST_CASE("changes beside odd entries reach all hosts after the store came back from an older copy") {
    in_process_fleet fleet(4);
    stand_ins::set_page_items(fleet.store, 2);
    start_fleet(fleet);
    put_odd_entries(fleet);
    put_endpoints(fleet);
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, &knows_endpoints));
    stand_ins::keep_copy(fleet.store);
    stand_ins::put_item(fleet.store, "op/config", configuration_text(2));
    REQUIRE(all_hosts_within(fleet, apply_limit_ms,
                             [](const auto& it) { return configuration_version(it) == 2; }));
    stand_ins::restore_copy(fleet.store);
    stand_ins::put_item(fleet.store, "op/config", configuration_text(3));
    CHECK(all_hosts_within(fleet, apply_limit_ms, [](const auto& it) {
        return configuration_version(it) == 3 && knows_endpoints(it);
    }));
    CHECK(
        all_hosts_within(fleet, registration_limit_ms, [](const auto& it) { return member_count(it) == 4; }));
}

// Guards against odd keys elsewhere in the store, where a full read goes past them too.
TEST_CASE("odd keys beside those of operators and hosts change nothing for the others") {
    in_process_fleet fleet(3);
    stand_ins::set_page_items(fleet.store, 1);
    start_fleet(fleet);
    for (const auto part : odd_parts) {
        for (const auto* prefix : {"hosts/", "op/", "op/evacuate/", ""}) {
            stand_ins::put_item(fleet.store, odd_key(prefix, part), "by another writer");
        }
    }
    put_endpoints(fleet);
    CHECK(all_hosts_within(fleet, apply_limit_ms, &knows_endpoints));
    auto& late = fleet.add_host();
    CHECK(holds_within(start_limit_ms, [&] {
        return configuration_version(late) == 1 && knows_endpoints(late) && member_count(late) == 4;
    }));
}

// Guards against a relay that is looked up under a name that no member has.
TEST_CASE("an entry of hosts that names another host makes no member") {
    in_process_fleet fleet(2);
    start_fleet(fleet);
    traffic::fleet_member other;
    other.name = "nowhere";
    other.region = "coast";
    other.domain = "north";
    other.request_address = "127.0.0.1:1";
    other.peer_address = "127.0.0.1:1";
    stand_ins::put_item(fleet.store, "hosts/odd", encode_member(other));
    put_endpoints(fleet);
    REQUIRE(all_hosts_within(fleet, apply_limit_ms, &knows_endpoints));
    CHECK(all_hosts_within(fleet, 0, [](const auto& it) { return member_count(it) == 2; }));
    stand_ins::put_item(fleet.store, "op/config", configuration_text(2));
    CHECK(all_hosts_within(fleet, apply_limit_ms,
                           [](const auto& it) { return configuration_version(it) == 2; }));
}

// Guards against a read without end, whose memory grows with each page.
TEST_CASE("a store that repeats a page is read again after a pause only") {
    // Two pages with each attempt, one attempt in 150 ms at most; the rest are calls about the host's lease.
    constexpr std::uint64_t max_calls_per_s = 2 * 1000 / 150 + 10;
    constexpr std::uint64_t seconds = 2;
    in_process_fleet fleet(0);
    stand_ins::set_page_items(fleet.store, 1);
    put_endpoints(fleet);
    stand_ins::put_item(fleet.store, "op/config", configuration_text(1));
    stand_ins::set_faults(fleet.store, {.repeats_pages = true});
    auto& host = fleet.add_host();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    CHECK(calls_of(fleet.store) <= max_calls_per_s * seconds);
    CHECK(configuration_version(host) == 0);
    stand_ins::set_faults(fleet.store, {});
    CHECK(holds_within(start_limit_ms, [&] { return configuration_version(host) == 1; }));
}

} // namespace lycheegap::platform
