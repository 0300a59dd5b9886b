#include "core/traffic/endpoint_set.h"

#include <doctest/doctest.h>

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

const common::time_point start{std::chrono::seconds(1000)};

endpoint_entry entry(std::string id, std::int64_t started_unix_ms = 1) {
    endpoint_entry made;
    made.id = std::move(id);
    made.service = "desk";
    made.address = "10.0.0.1:80";
    made.domain = "north";
    made.region = "coast";
    made.slots = 6;
    made.started_unix_ms = started_unix_ms;
    return made;
}

} // namespace

TEST_CASE("the same id with another start time is a different endpoint") {
    endpoint_set set;
    CHECK(put_endpoint(set, entry("a"), start) == endpoint_change::added);
    set.by_id["a"]->in_flight = 3;
    CHECK(put_endpoint(set, entry("a"), start) == endpoint_change::none);
    CHECK(set.by_id["a"]->in_flight == 3);
    CHECK(put_endpoint(set, entry("a", 2), start) == endpoint_change::replaced);
    CHECK(set.by_id["a"]->in_flight == 0);
    CHECK(set.by_service["desk"].size() == 1);
}

TEST_CASE("an endpoint that is leaving, or whose domain is vacated, gets no work") {
    endpoint_set set;
    put_endpoint(set, entry("a"), start);
    const auto a = set.by_id["a"];
    CHECK(accepts_work(set, *a));
    set_vacated(set, "north", true, start, milliseconds(3000));
    CHECK_FALSE(accepts_work(set, *a));
    set_vacated(set, "north", false, start, milliseconds(3000));
    CHECK(accepts_work(set, *a));
    CHECK(a->cold.until == start + milliseconds(3000));
    auto leaving = entry("a");
    leaving.leaving = true;
    CHECK(put_endpoint(set, leaving, start) == endpoint_change::updated);
    CHECK_FALSE(accepts_work(set, *a));
}

TEST_CASE("an entry written before its domain was vacated does not end the cold time") {
    endpoint_set set;
    put_endpoint(set, entry("a"), start);
    set_vacated(set, "north", true, start, milliseconds(3000));
    set_vacated(set, "north", false, start, milliseconds(3000));
    // The endpoint registers again with an entry that it wrote before.
    put_endpoint(set, entry("a"), start + milliseconds(100));
    CHECK(is_cold(*set.by_id["a"], start + milliseconds(200)));
    // So does another one, which was not registered while the domain was vacated.
    put_endpoint(set, entry("b"), start + milliseconds(100));
    CHECK(is_cold(*set.by_id["b"], start + milliseconds(200)));
}

TEST_CASE("an endpoint whose entry expires and returns is as cold as before") {
    endpoint_set set;
    auto cold = entry("a");
    cold.cold_remaining = milliseconds(3000);
    put_endpoint(set, cold, start);
    set.by_id["a"]->cold_requests.event_times.push_back(start);
    remove_endpoint(set, "a", start);
    put_endpoint(set, entry("a"), start + milliseconds(500));
    CHECK(is_cold(*set.by_id["a"], start + milliseconds(600)));
    CHECK(set.by_id["a"]->cold_requests.event_times.size() == 1);
    // After a restart its entry decides whether it is cold, but the requests sent to the id still count.
    CHECK(put_endpoint(set, entry("a", 2), start + milliseconds(700)) == endpoint_change::replaced);
    CHECK_FALSE(is_cold(*set.by_id["a"], start + milliseconds(800)));
    CHECK(set.by_id["a"]->cold_requests.event_times.size() == 1);
}

TEST_CASE("a whole domain counts as cold when many of its endpoints turn cold at once") {
    endpoint_set set;
    for (int n = 0; n < 8; ++n) {
        put_endpoint(set, entry("n" + std::to_string(n)), start);
        auto other = entry("s" + std::to_string(n));
        other.domain = "south";
        put_endpoint(set, other, start);
    }
    const auto turn_cold = [&](const std::string& id, common::time_point now) {
        auto cold = set.by_id[id]->entry;
        cold.cold_remaining = milliseconds(3000);
        put_endpoint(set, cold, now);
    };
    const auto is_cold_at = [&](const std::string& id, int ms) {
        return is_cold(*set.by_id[id], start + milliseconds(ms));
    };
    // One endpoint alone, or two at different times, do not make the domain cold.
    turn_cold("n0", start + milliseconds(1000));
    turn_cold("n1", start + milliseconds(2500));
    CHECK_FALSE(is_cold_at("n7", 2500));
    turn_cold("n2", start + milliseconds(2600));
    CHECK(is_cold_at("n7", 2600));
    CHECK(set.by_id["n7"]->cold.source == cold_source::domain);
    CHECK_FALSE(is_cold_at("n7", 5600));
    CHECK_FALSE(is_cold_at("s0", 2600));
}

TEST_CASE("an endpoint whose entry expired in a store outage returns in time or is removed") {
    endpoint_set set;
    put_endpoint(set, entry("back"), start);
    put_endpoint(set, entry("gone"), start);
    const auto due = start + milliseconds(2000);
    remove_endpoint_later(set, "back", due);
    remove_endpoint_later(set, "gone", due);
    CHECK(accepts_work(set, *set.by_id["gone"]));
    put_endpoint(set, entry("back"), start + milliseconds(500));
    CHECK(expire_endpoints(set, due - milliseconds(1)).empty());
    CHECK(expire_endpoints(set, due) == std::vector<std::string>{"gone"});
    CHECK(set.by_id.size() == 1);
    CHECK(set.by_service["desk"].size() == 1);
}

TEST_CASE("reported load of other hosts is smoothed and decays") {
    endpoint_state it;
    it.entry = entry("a");
    it.in_flight = 1;
    note_report(it, {.running = 6, .waiting = 4}, start);
    CHECK(estimated_load(it, start) == doctest::Approx(11));
    note_report(it, {.running = 0, .waiting = 0}, start + milliseconds(50));
    const double after_idle_report = estimated_load(it, start + milliseconds(50));
    CHECK(after_idle_report > 2);
    CHECK(after_idle_report < 11);
    CHECK(estimated_load(it, start + milliseconds(8000)) < 1.1);
}

TEST_CASE("an endpoint that fails again is avoided for longer") {
    endpoint_state it;
    note_failure(it, start);
    const auto first = it.avoided_until - start;
    note_failure(it, start);
    CHECK(it.avoided_until - start == first * 2);
    note_success(it);
    CHECK(it.avoided_until <= start);
    note_failure(it, start);
    CHECK(it.avoided_until - start == first);
}

} // namespace lycheegap::traffic
