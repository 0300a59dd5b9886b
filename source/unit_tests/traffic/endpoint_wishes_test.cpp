#include <cstdint>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "core/traffic/placement_by_load.h"

namespace lycheegap::traffic {

using common::milliseconds;

namespace {

const common::time_point start{std::chrono::hours(1)};

endpoint_entry entry_of(const std::string& id, std::int64_t started_unix_ms = 1) {
    endpoint_entry made;
    made.id = id;
    made.service = "desk";
    made.address = "10.0.0.1:" + id;
    made.region = "coast";
    made.domain = "coast-1";
    made.slots = 6;
    made.started_unix_ms = started_unix_ms;
    return made;
}

placement_request make_request() {
    placement_request made;
    made.service = "desk";
    return made;
}

endpoint_ptr place(endpoint_set& set, common::time_point now) {
    return place_by_load(set, make_request(), now);
}

/// What an endpoint has told the host since the host's last start, by start time of the endpoint.
struct told_wishes {
    std::map<std::pair<std::string, std::int64_t>, endpoint_wishes> by_start;
};

/// One host and its endpoints, which leave, return, start anew and ask for rest at random.
struct history {
    explicit history(std::uint64_t seed) : random(seed) {}

    std::mt19937_64 random;
    common::time_point now{start};
    endpoint_set set;
    std::map<std::string, std::int64_t> started;
    told_wishes told;
    /// Without it the host goes by the entries of the store only.
    bool listens{true};
    int unwanted{0};
    int placed{0};
};

std::uint64_t pick(history& it, std::uint64_t n) {
    return it.random() % n;
}

std::string random_id(history& it) {
    return std::to_string(pick(it, 4));
}

void register_endpoint(history& it, const std::string& id) {
    put_endpoint(it.set, entry_of(id, it.started[id]), it.now);
}

/// An endpoint answers a request with one of its wishes.
void answer(history& it, const std::string& id) {
    const auto found = it.set.by_id.find(id);
    if (found == it.set.by_id.end() || found->second->entry.started_unix_ms != it.started[id]) {
        return;
    }
    auto& told = it.told.by_start[{id, it.started[id]}];
    if (pick(it, 3) == 0) {
        told.leaving = true;
        if (it.listens) {
            note_leaving(*found->second);
        }
        return;
    }
    const milliseconds rest{static_cast<std::int64_t>(pick(it, 6000))};
    told.resting_until = std::max(told.resting_until, it.now + rest);
    if (it.listens) {
        note_rest(*found->second, rest, it.now);
    }
}

/// Places a request and sends it after a pause, unless the endpoint's wishes have changed meanwhile.
void send(history& it) {
    const auto chosen = place(it.set, it.now);
    if (!chosen) {
        return;
    }
    if (pick(it, 4) == 0) {
        it.now += milliseconds(pick(it, 3000));
        answer(it, random_id(it));
    }
    if (chosen->wishes.leaving || is_resting(*chosen, it.now)) {
        return;
    }
    ++it.placed;
    const auto& told = it.told.by_start[{chosen->entry.id, chosen->entry.started_unix_ms}];
    it.unwanted += told.leaving || told.resting_until > it.now ? 1 : 0;
}

void step(history& it) {
    it.now += milliseconds(pick(it, 400));
    const auto id = random_id(it);
    switch (pick(it, 8)) {
    case 0:
        ++it.started[id];
        register_endpoint(it, id);
        break;
    case 1:
        remove_endpoint(it.set, id, it.now);
        break;
    case 2:
        remove_endpoint_later(it.set, id, it.now + milliseconds(pick(it, 1000)));
        break;
    case 3:
        answer(it, id);
        break;
    case 4:
        expire_endpoints(it.set, it.now);
        break;
    case 5:
        if (pick(it, 10) == 0) {
            // The host restarts: what it was told is excused.
            it.set = {};
            it.told = {};
        }
        register_endpoint(it, id);
        break;
    default:
        send(it);
    }
}

history play(std::uint64_t seed, bool listens) {
    history it(seed);
    it.listens = listens;
    for (const auto* id : {"0", "1", "2", "3"}) {
        register_endpoint(it, id);
    }
    for (int n = 0; n < 60; ++n) {
        step(it);
    }
    return it;
}

} // namespace

TEST_CASE("an endpoint that says it is leaving gets no work until it starts anew") {
    endpoint_set set;
    put_endpoint(set, entry_of("1"), start);
    CHECK(note_leaving(*set.by_id.at("1")));
    CHECK_FALSE(note_leaving(*set.by_id.at("1")));
    CHECK(place(set, start) == nullptr);
    put_endpoint(set, entry_of("1"), start + milliseconds(10));
    CHECK(place(set, start + milliseconds(10)) == nullptr);
    remove_endpoint(set, "1", start + milliseconds(20));
    expire_endpoints(set, start + milliseconds(60'000));
    put_endpoint(set, entry_of("1"), start + milliseconds(60'000));
    CHECK(place(set, start + milliseconds(60'000)) == nullptr);
    put_endpoint(set, entry_of("1", 2), start + milliseconds(60'010));
    CHECK(place(set, start + milliseconds(60'010)) != nullptr);
}

TEST_CASE("an endpoint that asks for rest gets no work until the longest of its rests ends") {
    endpoint_set set;
    put_endpoint(set, entry_of("1"), start);
    note_rest(*set.by_id.at("1"), milliseconds(1000), start);
    note_rest(*set.by_id.at("1"), milliseconds(100), start + milliseconds(10));
    CHECK(place(set, start + milliseconds(999)) == nullptr);
    CHECK(first_rest_end(set, make_request(), start) == start + milliseconds(1000));
    CHECK(place(set, start + milliseconds(1000)) != nullptr);
    CHECK(first_rest_end(set, make_request(), start + milliseconds(1000)) == std::nullopt);
    note_rest(*set.by_id.at("1"), milliseconds::max() / 2, start + milliseconds(1000));
    CHECK(place(set, start + milliseconds(1000) + max_rest) != nullptr);
}

TEST_CASE(
    "no request is sent against an endpoint's wishes in 20000 histories; entries alone do not suffice") {
    int placed = 0;
    int unwanted = 0;
    int unwanted_by_entries = 0;
    for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
        const auto it = play(seed, true);
        placed += it.placed;
        unwanted += it.unwanted;
        unwanted_by_entries += play(seed, false).unwanted;
    }
    CHECK(placed > 20'000);
    CHECK(unwanted == 0);
    CHECK(unwanted_by_entries > 0);
}

} // namespace lycheegap::traffic
