#include "benchmarks/report.h"

#include <cmath>

#include <doctest/doctest.h>

namespace lycheegap::benchmarks {

TEST_CASE("a figure beyond its bound is red unless it is listed") {
    figure it{"bolgevagt", "refused", 2, "%"};
    CHECK(judge(it, {}) == verdict::unbounded);
    it.most = 2;
    CHECK(judge(it, {}) == verdict::within);
    it.most = 1;
    CHECK(judge(it, {}) == verdict::beyond);
    const std::vector<std::string> listed = {"bolgevagt refused"};
    CHECK(judge(it, listed) == verdict::known_red);
    it.name = "other";
    CHECK(judge(it, listed) == verdict::beyond);
    it.value = std::nan("");
    CHECK(judge(it, {}) == verdict::beyond);
}

TEST_CASE("percentiles of few values") {
    std::vector<double> none;
    CHECK(percentile(none, 0.5) == 0);
    std::vector<double> values = {5, 1, 3};
    CHECK(percentile(values, 0) == 1);
    CHECK(percentile(values, 0.5) == 3);
    CHECK(percentile(values, 1) == 5);
}

} // namespace lycheegap::benchmarks
