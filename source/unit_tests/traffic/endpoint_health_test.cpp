#include "core/traffic/endpoint_health.h"

#include <random>

#include <doctest/doctest.h>

#include "core/traffic/endpoint_set.h"

namespace lycheegap::traffic {

namespace {

using common::milliseconds;

constexpr common::time_point begin{std::chrono::seconds(1000)};

/// Parts of all requests that a grey endpoint got and turned away.
struct grey_load {
    double sent{0};
    double shed{0};
};

/// Plays requests of which half would go to an endpoint that sheds the share `grey`, one each 20 ms.
/// `may_use(endpoint, health, draw, now)` says whether it gets such a request.
template <typename Choice>
grey_load play(double grey, Choice may_use) {
    constexpr int requests = 5000;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> draw;
    endpoint_state endpoint;
    endpoint_health health;
    grey_load load;
    for (int n = 0; n < requests; ++n) {
        const auto now = begin + milliseconds(20) * n;
        if (draw(random) >= 0.5 || !may_use(endpoint, health, draw(random), now)) {
            continue;
        }
        const bool shed = draw(random) < grey;
        load.sent += 1.0 / requests;
        load.shed += shed ? 1.0 / requests : 0;
        note_outcome(health, shed ? endpoint_outcome::shed : endpoint_outcome::served, now);
        if (shed) {
            note_failure(endpoint, now);
        } else {
            note_success(endpoint);
        }
    }
    return load;
}

} // namespace

TEST_CASE("an endpoint is used less by the share that it sheds or fails, and fully again after a while") {
    endpoint_health health;
    CHECK(usable_share(health, begin) == 1);
    auto now = begin;
    for (int n = 0; n < 200; ++n) {
        now += milliseconds(50);
        note_outcome(health, n % 2 == 0 ? endpoint_outcome::shed : endpoint_outcome::served, now);
    }
    CHECK(usable_share(health, now) == doctest::Approx(0.5).epsilon(0.1));
    CHECK(usable_share(health, now + milliseconds(2000)) > usable_share(health, now));
    CHECK(usable_share(health, now + milliseconds(30'000)) > 0.99);
}

TEST_CASE("successes raise the share, one failure does not decide, and an endpoint is never given up") {
    endpoint_health health;
    note_outcome(health, endpoint_outcome::failed, begin);
    const double after_one = usable_share(health, begin);
    CHECK(after_one >= 0.5);
    note_outcome(health, endpoint_outcome::served, begin);
    CHECK(usable_share(health, begin) > after_one);
    for (int n = 0; n < 1000; ++n) {
        note_outcome(health, endpoint_outcome::failed, begin);
    }
    CHECK(usable_share(health, begin) == min_usable_share);
}

TEST_CASE("an endpoint that sheds a share serves more than with avoidance after each shed") {
    for (const double grey : {0.2, 0.55}) {
        CAPTURE(grey);
        const auto avoided = play(grey, [](const auto& endpoint, const auto&, double, auto now) {
            return endpoint.avoided_until <= now;
        });
        const auto by_share = play(grey, [](const auto&, const auto& health, double draw, auto now) {
            return draw < usable_share(health, now);
        });
        CHECK(by_share.sent - by_share.shed > avoided.sent - avoided.shed);
        // Half of all requests would go there.
        CHECK(by_share.sent < 0.5 * (1 - grey) + 0.05);
    }
}

} // namespace lycheegap::traffic
