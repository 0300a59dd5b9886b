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

// Guards against hosts that ask each other without a pause while the store is away: this seed exceeded the
// bound on bytes between hosts.
TEST_CASE("hosts send each other little in an outage of the store, soak seed 1") {
    soak::soak_size size;
    size.fault_phase_length = common::milliseconds(5000);
    expect_no_findings(1, size);
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
