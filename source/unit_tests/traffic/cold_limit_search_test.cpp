#include <algorithm>
#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "core/common/digest.h"
#include "core/traffic/endpoint_set.h"
#include "core/traffic/placement.h"
#include "virtual_time.h"

// Searches random histories of a fleet, whose hosts restart, are cut off from the store and learn of each
// other late, for a second in which a cold endpoint gets more requests than its limit.
namespace lycheegap::traffic {

namespace {

using common::milliseconds;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Sanitizer builds are slow and check the code only; the plain build searches all histories.
constexpr std::uint64_t history_count = 20;
#else
constexpr std::uint64_t history_count = 1500;
#endif
constexpr int host_count = 8;
constexpr int step_ms = 50;
constexpr int history_ms = 24'000;
/// Updates reach all hosts within this time.
constexpr int update_spread_ms = 1000;
constexpr int lease_ms = 4000;
constexpr int cold_ms = 6000;
constexpr double limit = 14.15;

common::time_point at(int ms) {
    return model_start + milliseconds(ms);
}

/// A change in the store: a host is registered, or not any more, from `from_ms` on.
struct registration {
    int from_ms{0};
    int host{0};
    bool present{false};
};

struct model_host {
    std::string name;
    fleet_view view;
    endpoint_set endpoints;
    /// Number of changes in the store that it has read.
    std::size_t changes_read{0};
    /// Delay with which it reads the store.
    int lag_ms{0};
    int started_ms{0};
    /// Period in which it is cut off from the store.
    int cut_until_ms{-1};
    int cut_since_ms{-1};
    /// The process is suspended until this time, after it placed requests and before it sends them.
    int suspended_until_ms{-1};
    /// Requests placed and not sent yet.
    int placed_requests{0};
    /// It sends requests also while it considers the endpoint warm.
    bool sends_when_warm{false};
    int last_warm_ms{0};
};

struct model {
    std::mt19937_64 random;
    std::vector<registration> store;
    std::vector<model_host> hosts;
    /// Times in ms of the last second's requests at the endpoint.
    std::deque<int> arrivals;
    /// Times in ms at which the endpoint turns cold.
    std::vector<int> cold_at;
    /// Use the former rule, `may_place_naively`.
    bool naive{false};
    /// Highest number of requests within a second of cold time.
    std::size_t max_requests{0};

    /// Random number from 0 to `below` - 1.
    int draw(int below) {
        return static_cast<int>(random() % static_cast<std::uint64_t>(below));
    }
};

endpoint_entry cold_endpoint(milliseconds cold_remaining) {
    endpoint_entry made;
    made.id = "e";
    made.service = "desk";
    made.address = "10.0.0.1:80";
    made.domain = "north";
    made.slots = 1000;
    made.started_unix_ms = 1;
    made.cold_remaining = cold_remaining;
    return made;
}

bool is_cut(const model_host& it, int now) {
    return now < it.cut_until_ms;
}

/// Up to which time, in ms, the host has read the store; it does not advance while the host is cut off.
int confirmed_ms(const model_host& it, int now) {
    return is_cut(it, now) ? it.cut_since_ms - it.lag_ms : now - it.lag_ms;
}

/// Adds a change to the store. `from_ms` is not in the past, and no host has read later changes, so the
/// positions of those already read don't move.
void register_at(model& it, const model_host& host, int from_ms, bool present) {
    const auto number = static_cast<int>(&host - it.hosts.data());
    it.store.push_back({from_ms, number, present});
    std::stable_sort(it.store.begin(), it.store.end(),
                     [](const auto& a, const auto& b) { return a.from_ms < b.from_ms; });
}

void start_host(model& it, model_host& host, int now) {
    host.view = {};
    host.endpoints = {};
    host.changes_read = 0;
    host.started_ms = now;
    host.lag_ms = 50 + it.draw(2000);
    host.placed_requests = 0;
    register_at(it, host, now, true);
}

/// Applies the changes that the host reads from the store until `now`.
void update_members(const model& it, model_host& host, int now) {
    while (host.changes_read < it.store.size() &&
           it.store[host.changes_read].from_ms <= confirmed_ms(host, now)) {
        const auto& change = it.store[host.changes_read++];
        const auto& name = it.hosts[static_cast<std::size_t>(change.host)].name;
        if (change.present) {
            fleet_member member;
            member.name = name;
            add_member(host.view, member, host.name, at(now));
        } else {
            remove_member(host.view, name, host.name, at(now));
        }
    }
    forget_former(host.view, at(now));
}

/// Cuts the host off from the store for a while, in which its lease may expire.
void cut_off(model& it, model_host& host, int now) {
    host.cut_since_ms = now;
    host.cut_until_ms = now + 500 + it.draw(8000);
    const int expires = now + lease_ms * 2 / 3 + it.draw(lease_ms / 3);
    if (expires < host.cut_until_ms) {
        register_at(it, host, expires, false);
        register_at(it, host, host.cut_until_ms, true);
    }
}

/// Records a request that arrives at the endpoint, if that is cold.
void receive_request(model& it, int now) {
    const bool is_cold = std::any_of(it.cold_at.begin(), it.cold_at.end(),
                                     [&](int from) { return now >= from && now < from + cold_ms; });
    if (!is_cold) {
        return;
    }
    it.arrivals.push_back(now);
    while (it.arrivals.front() <= now - 1000) {
        it.arrivals.pop_front();
    }
    it.max_requests = std::max(it.max_requests, it.arrivals.size());
}

/// The former rule: the limit is divided among the first two of the hosts in this host's membership view.
bool may_place_naively(const model_host& host, endpoint_state& endpoint, int now) {
    const auto seed = common::stable_hash("e");
    const auto own = common::stable_hash(host.name, seed);
    const auto& names = host.view.names;
    const auto before = std::count_if(names.begin(), names.end(), [&](const std::string& name) {
        return name != host.name && common::stable_hash(name, seed) > own;
    });
    const double share = limit * 0.6 / static_cast<double>(std::clamp<std::size_t>(names.size(), 1, 2));
    return before < 2 &&
           static_cast<double>(count_events(endpoint.cold_requests, at(now), milliseconds(1000))) + 1 <=
               share;
}

bool may_place(const model& it, const model_host& host, endpoint_state& endpoint, int now) {
    if (it.naive) {
        return may_place_naively(host, endpoint, now);
    }
    placement_request request;
    request.cold_limit = limit;
    request.knowledge = {host.name, &host.view, at(confirmed_ms(host, now)) + membership_validity};
    return cold_room(endpoint, request, at(now)) >= 1;
}

/// Places and sends all requests that the host may send at `now`.
void send_requests(model& it, model_host& host, int now) {
    if (now < host.suspended_until_ms) {
        return;
    }
    if (host.placed_requests > 0) {
        // After a suspension, the requests placed before it are past their send deadline and dropped. The
        // former rule had no such deadline.
        const bool too_late = !it.naive && host.suspended_until_ms > 0;
        for (int n = 0; n < host.placed_requests && !too_late; ++n) {
            receive_request(it, now);
        }
        host.placed_requests = 0;
    }
    const auto found = host.endpoints.by_id.find("e");
    if (found == host.endpoints.by_id.end()) {
        return;
    }
    auto& endpoint = *found->second;
    if (!is_cold(endpoint, at(now))) {
        // Hosts that consider the endpoint warm together send the part of the limit that is not divided into
        // shares.
        if (host.sends_when_warm && now >= host.last_warm_ms + 1000) {
            host.last_warm_ms = now;
            receive_request(it, now);
        }
        return;
    }
    while (may_place(it, host, endpoint, now)) {
        endpoint.cold_requests.event_times.push_back(at(now));
        if (it.draw(400) == 0) {
            host.suspended_until_ms = now + 300 + it.draw(2000);
        }
        if (now < host.suspended_until_ms) {
            ++host.placed_requests;
        } else {
            receive_request(it, now);
        }
    }
}

/// Applies the updates of the endpoint's entry that reach the host at `now`.
void update_endpoint(model& it, model_host& host, int now) {
    if (now == host.started_ms) {
        put_endpoint(host.endpoints, cold_endpoint(milliseconds(0)), at(now));
    }
    for (std::size_t n = 0; n < it.cold_at.size(); ++n) {
        // Updates reach each host at a different time.
        const int known_from =
            it.cold_at[n] + (host.lag_ms * 7 + static_cast<int>(n) * 131) % update_spread_ms;
        const bool first = now >= known_from && now < known_from + step_ms;
        const bool at_start = now == host.started_ms && now >= known_from && now < it.cold_at[n] + cold_ms;
        if (first || at_start) {
            put_endpoint(host.endpoints, cold_endpoint(milliseconds(cold_ms)), at(now));
        }
        // Its entry expires for a short time.
        const int expires = it.cold_at[n] + 3000;
        if (now >= expires && now < expires + step_ms) {
            if (it.naive) {
                host.endpoints = {};
            } else {
                remove_endpoint(host.endpoints, "e", at(now));
            }
        }
        const int returns = expires + 400;
        if (now >= returns && now < returns + step_ms) {
            put_endpoint(host.endpoints, cold_endpoint(milliseconds(cold_ms - 3400)), at(now));
        }
    }
}

/// Simulates one history and returns the highest number of requests within a second of cold time.
std::size_t max_requests_in_a_second(std::uint64_t seed, bool naive) {
    model it;
    it.random.seed(seed);
    it.naive = naive;
    it.hosts.resize(host_count);
    it.cold_at = {9000 + it.draw(3000), 17'000 + it.draw(1000)};
    for (std::size_t n = 0; n < it.hosts.size(); ++n) {
        it.hosts[n].name = "host-" + std::to_string(n);
        it.hosts[n].sends_when_warm = n % 2 == 0;
        start_host(it, it.hosts[n], 0);
    }
    for (int now = 0; now < history_ms; now += step_ms) {
        for (auto& host : it.hosts) {
            const bool has_fault = it.draw(200) == 0;
            if (has_fault && it.draw(2) == 0) {
                start_host(it, host, now);
            } else if (has_fault && !is_cut(host, now)) {
                cut_off(it, host, now);
            }
            update_members(it, host, now);
            update_endpoint(it, host, now);
            send_requests(it, host, now);
        }
    }
    return it.max_requests;
}

} // namespace

TEST_CASE("hosts with different membership views never exceed a cold endpoint's limit together") {
    std::size_t max_requests = 0;
    for (std::uint64_t seed = 1; seed <= history_count; ++seed) {
        const auto requests = max_requests_in_a_second(seed, false);
        CAPTURE(seed);
        CHECK(static_cast<double>(requests) <= limit);
        max_requests = std::max(max_requests, requests);
    }
    // Hosts do use a good part of the limit.
    CHECK(max_requests >= 6);
}

TEST_CASE(
    "the search finds an excess if each host divides a cold endpoint's limit among the hosts that it sees") {
    std::size_t max_requests = 0;
    for (std::uint64_t seed = 1; seed <= history_count / 10; ++seed) {
        max_requests = std::max(max_requests, max_requests_in_a_second(seed, true));
    }
    CHECK(static_cast<double>(max_requests) > limit);
}

} // namespace lycheegap::traffic
