#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>

namespace lycheegap::transport {

/// Memory budget in bytes for messages, shared by all reservations that point to it.
struct memory_budget {
    explicit memory_budget(std::int64_t bytes,
                           std::int64_t hard_bytes = std::numeric_limits<std::int64_t>::max())
        : limit(bytes), hard_limit(hard_bytes) {}

    std::int64_t limit;
    /// Bound of what small reservations may take together with the others once `limit` is reached.
    std::int64_t hard_limit;
    std::atomic<std::int64_t> used{0};
    /// Reservations that hold a part of the budget.
    std::atomic<std::int64_t> holders{0};
};

/// A reservation's use of the budget, in bytes.
struct memory_use {
    std::int64_t limit{0};
    /// By all reservations, this one included.
    std::int64_t used{0};
    std::int64_t held{0};
    std::int64_t holders{1};
    std::int64_t hard_limit{std::numeric_limits<std::int64_t>::max()};
};

/// Whether a reservation may hold what it holds: the budget is not exceeded, or the reservation has no more
/// than an equal share of it. All reservations together hold at most twice the limit, and at most the hard
/// limit.
bool may_hold(const memory_use& use);

/// The part of the budget that one message takes; released on destruction.
struct memory_reservation {
    /// Without a budget, each reservation succeeds.
    memory_reservation() = default;

    explicit memory_reservation(memory_budget* from) : budget(from) {}

    memory_reservation(const memory_reservation&) = delete;
    memory_reservation& operator=(const memory_reservation&) = delete;

    memory_reservation(memory_reservation&& other) noexcept
        : budget(std::exchange(other.budget, nullptr)), held(std::exchange(other.held, 0)) {}

    memory_reservation& operator=(memory_reservation&& other) noexcept {
        std::swap(budget, other.budget);
        std::swap(held, other.held);
        return *this;
    }

    ~memory_reservation();

    memory_budget* budget{nullptr};
    std::int64_t held{0};
};

/// Raises the reservation to `bytes` unless it holds as much; false, and no change, when there is no room.
bool reserve_memory(memory_reservation& reservation, std::size_t bytes);

/// Lowers the reservation to `bytes`.
void trim_memory(memory_reservation& reservation, std::size_t bytes);

} // namespace lycheegap::transport
