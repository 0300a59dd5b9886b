#include "soak/soak_checks.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "soak/soak_plan.h"

namespace lycheegap::soak {

namespace {

call_record make_call(std::string id, bool is_safe, int status) {
    call_record call;
    call.id = std::move(id);
    call.team = 1;
    call.is_safe = is_safe;
    call.status = status;
    call.response_matches = status == 200;
    return call;
}

run_record make_run(std::string id, std::int64_t at_ms = 0) {
    return {std::move(id), "endpoint-1", "team-1", at_ms, false};
}

std::string first_violation(const std::vector<finding>& found) {
    return found.empty() ? "" : found.front().guarantee;
}

} // namespace

TEST_CASE("runs are read from an endpoint's log") {
    const auto runs =
        parse_runs("e1", "x event=ready address=1\n"
                         "x event=ran request=a1 unix_ms=17 team=team-1 key_seen=false draining=false\n"
                         "x event=ran request=a2 unix_ms=19 team= key_seen=true draining=true");
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].id == "a1");
    CHECK(runs[0].at_ms == 17);
    CHECK(runs[0].team == "team-1");
    CHECK(runs[1].key_seen);
    CHECK(runs[1].team.empty());
}

TEST_CASE("each violated guarantee about a request is reported") {
    const std::vector<run_record> once = {make_run("q")};
    const std::vector<run_record> twice = {make_run("q"), make_run("q")};
    const auto unsafe_call = [](int status) { return std::vector{make_call("q", false, status)}; };
    CHECK(check_calls(unsafe_call(200), once).empty());
    CHECK(check_calls(unsafe_call(504), once).empty());
    CHECK(check_calls(unsafe_call(503), {}).empty());
    CHECK(first_violation(check_calls(unsafe_call(504), twice)) ==
          "a request that is not safe runs at most once");
    CHECK(first_violation(check_calls(unsafe_call(503), once)) ==
          "a refused request that is not safe has not run");
    CHECK(first_violation(check_calls(unsafe_call(200), {})) ==
          "a 200 response belongs to its request and to a run");
    CHECK(first_violation(check_calls(unsafe_call(401), {})) == "a valid request gets no 401 or 404");
    CHECK(check_calls(std::vector{make_call("q", true, 200)}, twice).empty());
    auto mismatched = unsafe_call(200);
    mismatched[0].response_matches = false;
    CHECK(first_violation(check_calls(mismatched, once)) ==
          "a 200 response belongs to its request and to a run");
    auto other_team = once;
    other_team[0].team = "team-2";
    CHECK(first_violation(check_calls(unsafe_call(200), other_team)) ==
          "an endpoint sees the right team and no API key");
}

TEST_CASE("a window with more runs than the rate allows is reported wherever it begins") {
    std::vector<run_record> runs;
    runs.reserve(31);
    for (int n = 0; n < 30; ++n) {
        runs.push_back(make_run("q", 1000 * n));
    }
    const rate_bound bound{"team-1", 5000, 5};
    CHECK(check_rate(runs, bound).empty());
    runs.push_back(make_run("q", 12'500));
    CHECK(check_rate(runs, bound).size() == 1);
}

TEST_CASE("a seed always gives the same faults, which overlap and never target the last host") {
    const soak_size size;
    const auto plan = plan_faults(7, size);
    const auto again = plan_faults(7, size);
    REQUIRE(plan.size() == again.size());
    bool overlaps = false;
    for (std::size_t n = 0; n < plan.size(); ++n) {
        CHECK(plan[n].kind == again[n].kind);
        CHECK(plan[n].at == again[n].at);
        CHECK(plan[n].target < std::max(size.hosts, size.endpoints) - 1);
        overlaps = overlaps || (n > 0 && plan[n].at < plan[n - 1].at + plan[n - 1].length);
    }
    CHECK(overlaps);
}

TEST_CASE("versions of the configuration that follow each other are planned one by one") {
    soak_size size;
    size.fault_phase_length = common::milliseconds(60'000);
    const auto plan = plan_faults(7, size);
    CHECK(std::is_sorted(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; }));
    CHECK(std::none_of(plan.begin(), plan.end(),
                       [](const auto& it) { return it.kind == fault_kind::change_configuration_often; }));
}

// Guards against a soak that doesn't see relays send the whole of a large configuration for each change.
TEST_CASE("more bytes between hosts than the versions call for are found") {
    CHECK(check_replicated_bytes(5'901'360, 3, 5).size() == 1);
    CHECK(check_replicated_bytes(3240, 3, 5).empty());
    const std::string text =
        "# TYPE lycheegap_mirror_answer_bytes counter\nlycheegap_mirror_answer_bytes 17\n";
    CHECK(read_counter(text, "mirror_answer_bytes") == 17);
    CHECK(read_counter(text, "bytes") == 0);
}

} // namespace lycheegap::soak
