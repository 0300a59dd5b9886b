#include "benchmarks/report.h"

#include <cmath>

#include <doctest/doctest.h>

namespace lycheegap::benchmarks {

TEST_CASE("a figure out of its bounds fails unless it is a known failure") {
    figure it{"bolgevagt", "refused", 2, "%"};
    CHECK(check_bounds(it, {}) == bound_status::unbounded);
    it.upper_bound = 2;
    CHECK(check_bounds(it, {}) == bound_status::within);
    it.upper_bound = 1;
    CHECK(check_bounds(it, {}) == bound_status::out_of_bounds);
    const std::vector<std::string> listed = {"bolgevagt refused"};
    CHECK(check_bounds(it, listed) == bound_status::known_failure);
    it.name = "other";
    CHECK(check_bounds(it, listed) == bound_status::out_of_bounds);
    it.value = std::nan("");
    CHECK(check_bounds(it, {}) == bound_status::out_of_bounds);
}

TEST_CASE("percentiles of empty and small samples") {
    std::vector<double> none;
    CHECK(percentile(none, 0.5) == 0);
    std::vector<double> values = {5, 1, 3};
    CHECK(percentile(values, 0) == 1);
    CHECK(percentile(values, 0.5) == 3);
    CHECK(percentile(values, 1) == 5);
}

} // namespace lycheegap::benchmarks
