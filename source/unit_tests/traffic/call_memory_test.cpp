#include <array>

#include <doctest/doctest.h>

#include "core/traffic/call_memory.h"
#include "core/transport/memory_budget.h"

namespace lycheegap::traffic {

using common::milliseconds;

namespace {

constexpr std::int64_t megabyte = 1'000'000;
constexpr common::time_point start{std::chrono::hours(1)};

/// A body of 20 MB, due 30 s after the start, of which `received` bytes arrived since the mark at the start.
unfinished_body body_with(std::int64_t received) {
    return {.held = 20 * megabyte,
            .received = received,
            .received_at_mark = 0,
            .marked_at = start,
            .due = start + milliseconds(30'000)};
}

} // namespace

TEST_CASE(
    "the memory for calls holds one body of 64 MiB on a machine of 112 MB, and leaves the process its part") {
    const auto limits =
        plan_call_memory({.machine = 112 * megabyte, .process = 24 * megabyte, .calls_fraction = 0.92});
    CHECK(limits.limit > (64 << 20) + megabyte);
    CHECK(limits.hard_limit + 24 * megabyte <= 112 * megabyte);
    const auto tiny =
        plan_call_memory({.machine = 16 * megabyte, .process = 24 * megabyte, .calls_fraction = 0.92});
    CHECK(tiny.limit > 0);
    CHECK(tiny.hard_limit <= 2 * megabyte);
}

TEST_CASE("a growing body never takes more than is reserved for it") {
    constexpr std::size_t limit = 64U << 20U;
    std::size_t capacity = 0;
    for (std::size_t size = 0; size < limit; size += 16U << 10U) {
        const auto grown = grown_body_capacity(size, capacity, 16U << 10U, limit);
        CHECK(grown >= size + (16U << 10U));
        CHECK(grown <= limit);
        if (grown > capacity) {
            CHECK(2 * size <= grown);
        }
        capacity = grown;
    }
    CHECK(grown_body_capacity(10, 100, 90, limit) == 100);
}

TEST_CASE("a body is behind when it misses the rate at which it would be complete in time") {
    const auto soon = start + milliseconds(1000);
    const auto later = start + milliseconds(3000);
    CHECK_FALSE(is_behind(body_with(0), soon));
    CHECK(is_behind(body_with(0), later));
    CHECK(is_behind(body_with(19 * megabyte / 10), later));
    CHECK_FALSE(is_behind(body_with(2 * megabyte), later));
    auto complete_but_one = body_with(20 * megabyte - 1);
    complete_but_one.received_at_mark = complete_but_one.received;
    CHECK(is_behind(complete_but_one, later));
}

TEST_CASE("bodies are ended only while memory is short, the largest that are behind first") {
    const auto now = start + milliseconds(3000);
    auto small = body_with(0);
    small.held = megabyte;
    auto moving = body_with(10 * megabyte);
    moving.held = 40 * megabyte;
    const std::array bodies = {small, body_with(0), moving, body_with(0)};
    CHECK(choose_ended_bodies(bodies, 75 * megabyte, 100 * megabyte, now).empty());
    CHECK(choose_ended_bodies(bodies, 81 * megabyte, 100 * megabyte, now).size() == 1);
    const auto all = choose_ended_bodies(bodies, 200 * megabyte, 100 * megabyte, now);
    REQUIRE(all.size() == 3);
    CHECK(bodies[all[0]].held == 20 * megabyte);
    CHECK(bodies[all[2]].held == megabyte);
}

TEST_CASE("small reservations have room beyond the limit, large ones do not") {
    const auto limits = limits_around(800);
    transport::memory_budget budget(limits.limit, limits.hard_limit);
    transport::memory_reservation large(&budget);
    CHECK(reserve_memory(large, 700));
    CHECK_FALSE(reserve_memory(large, 801));
    CHECK(large.held == 700);
    transport::memory_reservation small(&budget);
    CHECK(reserve_memory(small, 150));
    transport::memory_reservation next(&budget);
    CHECK_FALSE(reserve_memory(next, 60));
    CHECK(next.held == 0);
    CHECK(budget.used == 850);
    CHECK(budget.holders == 2);
    auto moved = std::move(large);
    trim_memory(moved, 0);
    CHECK(budget.used == 150);
    CHECK(budget.holders == 1);
}

} // namespace lycheegap::traffic
