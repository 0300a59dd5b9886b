#include "call_memory.h"

#include <algorithm>
#include <chrono>
#include <functional>

namespace lycheegap::traffic {

namespace {

constexpr std::int64_t min_calls_divisor = 8;
// Part of the budget, as a divisor, that only small calls may use.
constexpr std::int64_t small_calls_divisor = 8;
// Coroutines, parser, timers and buffers of a call in flight.
constexpr std::size_t call_state_bytes = 8U << 10U;
// A header's node in the parsed head and in the copy that is sent, with what the allocator adds.
constexpr std::size_t header_node_bytes = 256;
constexpr std::size_t first_body_capacity = 16U << 10U;

} // namespace

call_memory_limits limits_around(std::int64_t limit) {
    return {.limit = limit, .hard_limit = limit + limit / small_calls_divisor};
}

call_memory_limits plan_call_memory(const memory_division& division) {
    const auto rest = static_cast<double>(division.machine - division.process) * division.calls_fraction;
    const auto hard = std::max(static_cast<std::int64_t>(rest), division.machine / min_calls_divisor);
    return limits_around(hard * small_calls_divisor / (small_calls_divisor + 1));
}

std::size_t head_memory(std::size_t head_bytes, std::size_t headers) {
    return call_state_bytes + 2 * head_bytes + headers * header_node_bytes;
}

std::size_t grown_body_capacity(std::size_t size, std::size_t capacity, std::size_t more,
                                std::size_t body_limit) {
    const auto needed = size + more;
    if (needed <= capacity) {
        return capacity;
    }
    // Doubling: the bytes that are moved, twice, are no more than the new capacity.
    const auto doubled = std::max(2 * capacity, first_body_capacity);
    return std::max(needed, std::min(doubled, body_limit));
}

bool is_behind(const unfinished_body& it, common::time_point now) {
    if (now - it.marked_at < progress_interval || it.due <= it.marked_at) {
        return it.due <= now;
    }
    const auto remaining = static_cast<double>(std::max<std::int64_t>(it.held - it.received_at_mark, 1));
    const std::chrono::duration<double> passed = now - it.marked_at;
    const std::chrono::duration<double> left = it.due - it.marked_at;
    const auto received = static_cast<double>(it.received - it.received_at_mark);
    return received < remaining * std::min(passed / left, 1.0);
}

bool is_short(std::int64_t used, std::int64_t limit) {
    return used > limit / 4 * 3;
}

std::vector<std::size_t> choose_ended_bodies(std::span<const unfinished_body> bodies, std::int64_t used,
                                             std::int64_t limit, common::time_point now) {
    std::vector<std::size_t> chosen;
    if (!is_short(used, limit)) {
        return chosen;
    }
    for (std::size_t n = 0; n < bodies.size(); ++n) {
        if (is_behind(bodies[n], now)) {
            chosen.push_back(n);
        }
    }
    std::ranges::sort(chosen, std::greater{}, [&](std::size_t n) { return bodies[n].held; });
    std::size_t count = 0;
    while (count < chosen.size() && is_short(used, limit)) {
        used -= bodies[chosen[count]].held;
        ++count;
    }
    chosen.resize(count);
    return chosen;
}

} // namespace lycheegap::traffic
