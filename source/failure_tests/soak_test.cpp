#include <doctest/doctest.h>

#include "soak/soak_run.h"

namespace lycheegap::failure_tests {

namespace {

/// Runs the soak with one seed and prints each broken guarantee.
void expect_no_findings(std::uint64_t seed, const soak::soak_size& size) {
    CAPTURE(seed);
    const auto result = soak::run_soak(seed, size);
    REQUIRE(result.started);
    for (const auto& it : result.findings) {
        MESSAGE(it.guarantee << ": " << it.detail << ", logs in " << result.folder);
    }
    CHECK(result.findings.empty());
    CHECK(result.calls_by_status.contains(200));
}

} // namespace

TEST_SUITE_BEGIN("soak");

TEST_CASE("guarantees hold under random faults injected into real processes") {
    soak::soak_size size;
    size.fault_phase_length = common::milliseconds(12'000);
    expect_no_findings(20261204, size);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
