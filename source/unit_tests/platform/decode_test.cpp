#include "platform/decode.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace lycheegap::platform {

namespace {

constexpr std::string_view config_text = R"({"version":7,"resources":[
{"resource_kind":"routes","metadata":{"name":"r1"},"spec":{"host":"a.example","prefix":"/x/","kind":"safe","timeout_s":2.5,
 "target_latency_s":0.4,"priority":2,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
 "max_attempts":2,"public":false,"session_affinity":true,"allowed_regions":["coast"]}},
{"resource_kind":"routes","metadata":{"name":"r2"},"spec":{"host":"a.example","prefix":"/y/","kind":"unsafe","timeout_s":2,
 "service":"s1"}},
{"resource_kind":"services","metadata":{"name":"s1"},"spec":{"cold_start_s":3.0,"cold_per_s":6.0}},
{"resource_kind":"tenants","metadata":{"name":"t1"},"spec":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":146,"burst":10}},
{"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,
 "idle_timeout_s":15}},
{"resource_kind":"unheard of","metadata":{"name":"n"},"spec":{"new":1}}],"later":true})";

const domain_regions regions = {{"north", "coast"}};

} // namespace

TEST_CASE("a platform configuration is decoded into routes, services, teams and limits") {
    const auto config = decode_configuration(config_text);
    REQUIRE(config);
    CHECK(config->version == 7);
    REQUIRE(config->routes.size() == 2);
    CHECK(config->routes[0].idempotent);
    CHECK(config->routes[0].timeout == common::milliseconds(2500));
    CHECK(config->routes[0].parts.size() == 2);
    CHECK_FALSE(config->routes[1].idempotent);
    CHECK(config->routes[1].parts.at(0).service == "s1");
    CHECK(config->services.at("s1").cold_rate == 6);
    CHECK(traffic::find_team(*config, "k2")->name == "t1");
    CHECK(config->limits.body_bytes == 1000);
}

TEST_CASE("requests of safe and download routes may be repeated, those of any other kind may not") {
    const auto is_idempotent = [](const std::string& kind) {
        const auto config = decode_configuration(
            R"({"version":1,"resources":[{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"prefix":"/x/",)"
            R"("service":"s","kind":")" +
            kind + R"("}}]})");
        REQUIRE(config);
        REQUIRE(config->routes.size() == 1);
        return config->routes[0].idempotent;
    };
    CHECK(is_idempotent("safe"));
    CHECK(is_idempotent("download"));
    for (const auto* kind : {"unsafe", "", "Download", "downloads", "keyed"}) {
        CAPTURE(kind);
        CHECK_FALSE(is_idempotent(kind));
    }
}

TEST_CASE("malformed configurations are rejected") {
    CHECK_FALSE(decode_configuration("{"));
    CHECK_FALSE(decode_configuration("[]"));
    CHECK_FALSE(decode_configuration(R"({"version":"7","resources":[]})"));
    CHECK_FALSE(decode_configuration(R"({"version":7})"));
}

TEST_CASE("malformed endpoint entries are rejected") {
    const std::string good =
        R"({"address":"10.0.0.1:80","born":5,"info":{"service":"s","version":"v1","zone":"north","capacity":6},)"
        R"("status":{"state":"draining","sequence":4,"cold_remaining_s":1.5}})";
    const auto entry = decode_endpoint("i-1", good, regions);
    REQUIRE(entry);
    CHECK(entry->leaving);
    CHECK(entry->region == "coast");
    CHECK(entry->cold_remaining == common::milliseconds(1500));
    CHECK(entry->started_unix_ms == 5);
    for (
        const auto* bad :
        {"", "\xff\xfe", "7", "{}", R"({"address":"a","info":{},"status":{}})",
         R"({"address":7,"info":{"service":"s","zone":"north","capacity":6},"status":{"state":"ready"}})",
         R"({"address":"a","info":{"service":"s","zone":"north","capacity":"6"},"status":{"state":"ready"}})",
         R"({"address":"a","info":{"service":"s","zone":"north","capacity":6},"status":{"state":"asleep"}})"}) {
        CAPTURE(bad);
        CHECK_FALSE(decode_endpoint("i-1", bad, regions));
    }
}

// Guards against an id or a name from the store that ends or forges a header of the requests passed on.
TEST_CASE("ids and names that cannot be sent in a header are rejected") {
    const std::string entry =
        R"({"address":"10.0.0.1:80","info":{"service":"s","zone":"north","capacity":6},)"
        R"("status":{"state":"ready","cold_remaining_s":0}})";
    CHECK(decode_endpoint("i-1", entry, regions));
    for (const auto& id : {std::string("i\r\nx: y"), std::string("i\n"), std::string("i\x7f"),
                           std::string("i\0", 2), std::string(70'000, 'i')}) {
        CAPTURE(id.substr(0, 10));
        CHECK_FALSE(decode_endpoint(id, entry, regions));
    }
    const auto config = decode_configuration(
        R"({"version":1,"resources":[{"resource_kind":"tenants","metadata":{"name":"t\r\nx: y"},)"
        R"("spec":{"api_keys":["k1"]}},)"
        R"({"resource_kind":"tenants","metadata":{"name":"t2"},"spec":{"api_keys":["k2"]}}]})");
    REQUIRE(config);
    CHECK(traffic::find_team(*config, "k1") == nullptr);
    CHECK(traffic::find_team(*config, "k2")->name == "t2");
}

TEST_CASE("deeply nested and out-of-range values are rejected or ignored") {
    const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
    const std::string open = std::string(400'000, '[');
    std::string nested;
    for (int n = 0; n < 100'000; ++n) {
        nested += "{\"info\":";
    }
    for (const auto& text : {deep, open, nested + "1" + std::string(100'000, '}')}) {
        CHECK_FALSE(decode_endpoint("i-1", text, regions));
        CHECK_FALSE(decode_member(text));
        CHECK_FALSE(decode_configuration(text));
        CHECK_FALSE(decode_page(text));
        CHECK_FALSE(decode_number(text, "lease"));
    }
    const auto entry = [](const std::string& address, const std::string& capacity, const std::string& cold) {
        return R"({"address":")" + address +
               R"(","born":5,"info":{"service":"s","version":"v1","zone":"north",)" + R"("capacity":)" +
               capacity + R"(},"status":{"state":"ready","sequence":4)" + cold + "}}";
    };
    const std::string warm = R"(,"cold_remaining_s":0)";
    CHECK(decode_endpoint("i-1", entry("10.0.0.1:80", "6", warm), regions));
    for (const auto* address :
         {"10.0.0.1:70000", "10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:99999999999999999999",
          "10.0.0.1:", "10.0.0.1", ":80", "10.0.0.256:80", "10.0.0.1:80x"}) {
        CAPTURE(address);
        CHECK_FALSE(decode_endpoint("i-1", entry(address, "6", warm), regions));
        CHECK_FALSE(decode_member(R"({"name":"h","requests":")" + std::string(address) +
                                  R"(","peers":"10.0.0.1:7560","capacity":1})"));
        CHECK_FALSE(decode_member(R"({"name":"h","requests":"10.0.0.1:80","peers":")" + std::string(address) +
                                  R"(","capacity":1})"));
    }
    for (const auto* capacity : {"9223372036854775808", "18446744073709551615", "1e400", "1e30", "-1", "0",
                                 "6.5", "99999999999999999999999999"}) {
        CAPTURE(capacity);
        CHECK_FALSE(decode_endpoint("i-1", entry("10.0.0.1:80", capacity, warm), regions));
    }
    for (const auto* cold : {"", R"(,"cold_remaining_s":"3")", R"(,"cold_remaining_s":1e300)",
                             R"(,"cold_remaining_s":-1)", R"(,"cold_remaining_s":null)"}) {
        CAPTURE(cold);
        CHECK_FALSE(decode_endpoint("i-1", entry("10.0.0.1:80", "6", cold), regions));
    }
    for (const auto* capacity : {"1e300", "-1", "1e400"}) {
        CAPTURE(capacity);
        const auto member =
            decode_member(R"({"name":"h","requests":"10.0.0.1:80","peers":"10.0.0.1:7560","capacity":)" +
                          std::string(capacity) + "}");
        // An unreadable capacity is rejected or leaves the default.
        CHECK((!member || member->capacity == 1));
    }
    const auto config = decode_configuration(
        R"({"version":7,"resources":[{"resource_kind":"routes","metadata":{"name":"r"},"spec":{"prefix":"/a/",)"
        R"("kind":"safe","timeout_s":1e300,"max_attempts":4294967296,"priority":9999999999,"traffic_split":)"
        R"([{"service":"s","weight":1e308},{"service":"t","weight":1}]}},{"resource_kind":"limits","metadata":{},)"
        R"("spec":{"max_header_bytes":-1,"max_body_bytes":-1}}]})");
    REQUIRE(config);
    REQUIRE(config->routes.size() == 1);
    CHECK(config->routes[0].attempt_limit == 1);
    CHECK(config->routes[0].parts.size() == 1);
    CHECK(config->limits.head_bytes == traffic::caller_limits{}.head_bytes);
    CHECK(config->limits.body_bytes == traffic::caller_limits{}.body_bytes);
}

TEST_CASE("a store page is decoded into items, removals and the revision") {
    const auto page = decode_page(
        R"({"events":[{"key":"a","value":"aGk=","revision":3,"lease":9},{"key":"b","revision":4,"tombstone":true}],"at_rev":4})");
    REQUIRE(page);
    REQUIRE(page->items.size() == 2);
    CHECK(page->items[0].value == "hi");
    CHECK(page->items[0].lease == 9);
    CHECK(page->items[1].removed);
    CHECK(page->revision == 4);
    CHECK_FALSE(decode_page("{}"));
    CHECK(from_base64(to_base64("any bytes")) == "any bytes");
    CHECK_FALSE(from_base64("*"));
}

// Guards against one odd key that makes the JSON of a whole response unreadable.
TEST_CASE("an item under a key that is not text hides no other") {
    struct odd_key {
        std::string_view in_json;
        std::string_view bytes;
    };

    using namespace std::string_view_literals;
    const auto keys = {odd_key{"m\xff", "m\xff"},
                       odd_key{"m\xc3\xa9\xc3", "m\xc3\xa9\xc3"},
                       odd_key{"m\x01\n\0z"sv, "m\x01\n\0z"sv},
                       odd_key{"\\ud800", "\xed\xa0\x80"},
                       odd_key{"\\udc00\\ud800\\u00e9", "\xed\xb0\x80\xed\xa0\x80\xc3\xa9"},
                       odd_key{"\xff\\ud83d\\ude00\\u0041\\u0001", "\xff\xf0\x9f\x98\x80"
                                                                   "A\x01"},
                       odd_key{"\\x\\u12g4\\\"\\\\\\n", "\\x\\u12g4\"\\\n"}};
    for (const auto& it : keys) {
        CAPTURE(it.in_json);
        const auto items = fmt::format(
            R"([{{"key":"servers/\u00e9","value":"YQ==","revision":7}},)"
            R"({{"key":"{}","value":"Yg==","revision":8}},{{"key":"z","tombstone":true,"revision":9}}])",
            it.in_json);
        for (const auto* list : {"items", "events"}) {
            const auto page =
                decode_page(fmt::format(R"({{"{}":{},"has_more":true,"at_rev":9}})", list, items));
            REQUIRE(page);
            REQUIRE(page->items.size() == 3);
            CHECK(page->has_more);
            CHECK(page->items[0].key == "servers/\xc3\xa9");
            CHECK(page->items[0].value == "a");
            CHECK(page->items[1].key == it.bytes);
            CHECK(page->items[1].value == "b");
            CHECK(page->items[1].revision == 8);
            CHECK(page->items[2].key == "z");
            CHECK(page->items[2].removed);
        }
        // The state that a refused write returns.
        const auto current = decode_items(fmt::format(R"({{"items":{}}})", items));
        REQUIRE(current);
        CHECK(current->size() == 3);
    }
}

TEST_CASE("a host's entry is decoded as it was encoded") {
    traffic::fleet_member member;
    member.name = "host-1";
    member.region = "coast";
    member.domain = "north";
    member.request_address = "10.0.0.1:1";
    member.peer_address = "10.0.0.1:2";
    member.capacity = 0.5;
    const auto read = decode_member(encode_member(member));
    REQUIRE(read);
    CHECK(read->peer_address == "10.0.0.1:2");
    CHECK(read->capacity == 0.5);
    CHECK_FALSE(decode_member("{}"));
}

TEST_CASE("an endpoint's entry is a heartbeat only when nothing but its sequence number changed") {
    const auto item = [](std::string key, std::string value) {
        gateway::mirror_item made;
        made.key = std::move(key);
        made.value = std::move(value);
        return made;
    };
    const auto known = item("servers/a", R"({"status":{"sequence": 4,"state":"ready"}})");
    CHECK(is_heartbeat(known, item("servers/a", R"({"status":{"sequence": 115,"state":"ready"}})")));
    CHECK_FALSE(is_heartbeat(known, item("servers/a", R"({"status":{"sequence": 5,"state":"draining"}})")));
    CHECK_FALSE(is_heartbeat(known, item("servers/a", R"({"status":{"state":"ready"}})")));
    CHECK_FALSE(is_heartbeat(known, item("servers/a", "")));
    CHECK_FALSE(is_heartbeat(known, item("op/config", known.value)));
    // A change of the remaining cold time is not a heartbeat.
    const auto cold = item("servers/a", R"({"status":{"sequence":4,"cold_remaining_s":0.4}})");
    CHECK_FALSE(is_heartbeat(cold, item("servers/a", R"({"status":{"sequence":5,"cold_remaining_s":0.0}})")));
}

} // namespace lycheegap::platform
