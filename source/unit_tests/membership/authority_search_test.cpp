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
// The sanitizers look at the code and not for histories; the plain build runs them all.
constexpr std::uint64_t history_count = 3'000;
#else
constexpr std::uint64_t history_count = 100'000;
#endif
constexpr std::uint64_t naive_count = 3'000;
constexpr unsigned thread_count = 6;

struct search_result {
    history_result sum;
    std::uint64_t first_breach{0};
};

void add(history_result& sum, const history_result& one) {
    sum.admissions += one.admissions;
    sum.refusals += one.refusals;
    sum.accepted += one.accepted;
    sum.changes_of_members += one.changes_of_members;
    sum.breaches += one.breaches;
}

search_result search(rule chosen, std::uint64_t count) {
    std::vector<search_result> parts(thread_count);
    std::vector<std::thread> threads;
    for (unsigned n = 0; n < thread_count; ++n) {
        threads.emplace_back([&part = parts[n], n, chosen, count] {
            for (std::uint64_t seed = first_seed + n; seed < first_seed + count; seed += thread_count) {
                const auto one = run_history(seed, chosen);
                if (one.breaches > 0 && part.first_breach == 0) {
                    part.first_breach = seed;
                }
                add(part.sum, one);
            }
        });
    }
    search_result all;
    for (unsigned n = 0; n < thread_count; ++n) {
        threads[n].join();
        add(all.sum, parts[n].sum);
        all.first_breach = all.first_breach == 0 ? parts[n].first_breach : all.first_breach;
    }
    return all;
}

void report(const std::string& name, const search_result& found) {
    MESSAGE(name, ": first seed ", first_seed, ", admissions ", found.sum.admissions, ", refusals ",
            found.sum.refusals, ", accepted ", found.sum.accepted, ", changes of members ",
            found.sum.changes_of_members, ", breaches ", found.sum.breaches, ", first breach at seed ",
            found.first_breach);
}

void expect_breach(const std::string& name, rule naive) {
    const auto found = search(naive, naive_count);
    report(name, found);
    CHECK_MESSAGE(found.sum.breaches > 0, name);
}

} // namespace

TEST_SUITE("configuration_in_force") {
    TEST_CASE("no host admits under a version older than the accepted one") {
        const auto found = search(rule::product, history_count);
        report("product", found);
        CHECK(found.sum.breaches == 0);
        CHECK(found.sum.accepted > history_count);
        CHECK(found.sum.changes_of_members > history_count);
    }

    TEST_CASE("the naive rules break it or refuse more") {
        const auto product = search(rule::product, naive_count);
        expect_breach("serve_on", rule::serve_on);
        expect_breach("from_receipt", rule::from_receipt);
        expect_breach("half_is_enough", rule::half_is_enough);
        expect_breach("newest_members_only", rule::newest_members_only);
        const auto closed = search(rule::fail_closed, naive_count);
        report("product, same seeds", product);
        report("fail_closed", closed);
        CHECK(closed.sum.breaches == 0);
        CHECK(closed.sum.refusals > product.sum.refusals * 3 / 2);
    }
}

} // namespace lycheegap::membership
