#include <atomic>
#include <cstdlib>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "authority_model.h"

namespace lycheegap::membership {

namespace {

constexpr std::uint64_t first_seed = 20'261'204;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// With sanitizers the test looks for errors in the code, not in the protocol; the plain build runs all
// histories.
constexpr std::uint64_t history_count = 3'000;
#else
constexpr std::uint64_t history_count = 100'000;
#endif
constexpr std::uint64_t faulty_history_count = 3'000;
constexpr unsigned thread_count = 6;

struct search_result {
    history_result sum;
    std::uint64_t first_failing_seed{0};
};

void add_counts(history_result& sum, const history_result& one) {
    sum.admissions += one.admissions;
    sum.refusals += one.refusals;
    sum.accepted += one.accepted;
    sum.membership_changes += one.membership_changes;
    sum.stale_admissions += one.stale_admissions;
}

search_result search(rule chosen, std::uint64_t count) {
    std::vector<search_result> parts(thread_count);
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < thread_count; ++n) {
        threads.emplace_back([&part = parts[n], n, chosen, count] {
            for (std::uint64_t seed = first_seed + n; seed < first_seed + count; seed += thread_count) {
                const auto one = run_history(seed, chosen);
                if (one.stale_admissions > 0 && part.first_failing_seed == 0) {
                    part.first_failing_seed = seed;
                }
                add_counts(part.sum, one);
            }
        });
    }
    search_result all;
    for (unsigned n = 0; n < thread_count; ++n) {
        threads[n].join();
        add_counts(all.sum, parts[n].sum);
        all.first_failing_seed =
            all.first_failing_seed == 0 ? parts[n].first_failing_seed : all.first_failing_seed;
    }
    return all;
}

void report(const std::string& name, const search_result& found) {
    MESSAGE(name, ": first seed ", first_seed, ", admissions ", found.sum.admissions, ", refusals ",
            found.sum.refusals, ", accepted ", found.sum.accepted, ", membership changes ",
            found.sum.membership_changes, ", stale admissions ", found.sum.stale_admissions,
            ", first at seed ", found.first_failing_seed);
}

void expect_stale_admissions(const std::string& name, rule faulty) {
    const auto found = search(faulty, faulty_history_count);
    report(name, found);
    CHECK_MESSAGE(found.sum.stale_admissions > 0, name);
}

} // namespace

TEST_SUITE("configuration_in_force") {
    TEST_CASE("no host admits a request under a version older than the accepted one") {
        const auto found = search(rule::product, history_count);
        report("product", found);
        CHECK(found.sum.stale_admissions == 0);
        CHECK(found.sum.accepted > history_count);
        CHECK(found.sum.membership_changes > history_count);
    }

    TEST_CASE("each faulty rule admits requests under an older version or refuses more") {
        const auto product = search(rule::product, faulty_history_count);
        expect_stale_admissions("serve_on", rule::serve_on);
        expect_stale_admissions("from_receipt", rule::from_receipt);
        expect_stale_admissions("half_is_enough", rule::half_is_enough);
        expect_stale_admissions("newest_members_only", rule::newest_members_only);
        const auto fail_closed_result = search(rule::fail_closed, faulty_history_count);
        report("product, same seeds", product);
        report("fail_closed", fail_closed_result);
        CHECK(fail_closed_result.sum.stale_admissions == 0);
        CHECK(fail_closed_result.sum.refusals > product.sum.refusals * 3 / 2);
    }
}

} // namespace lycheegap::membership
