#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/common/clock.h"

namespace lycheegap::traffic {

/// Memory of the machine, and how a host divides it. In bytes.
struct memory_division {
    std::int64_t machine{0};
    /// What the process needs beside the calls in flight.
    std::int64_t process{0};
    /// Fraction of the rest that calls may use.
    double calls_fraction{0};
};

/// Bounds of what all calls in flight use together, in bytes.
struct call_memory_limits {
    /// For calls of any size.
    std::int64_t limit{0};
    /// For small calls once `limit` is reached.
    std::int64_t hard_limit{0};
};

/// Divides the machine's memory. Calls get at least an eighth of it.
call_memory_limits plan_call_memory(const memory_division& division);

/// Limits with `limit` bytes for calls of any size.
call_memory_limits limits_around(std::int64_t limit);

/// Bytes that a call in flight takes beside its body: its parsed head, the copy of it that an attempt sends,
/// and its state.
std::size_t head_memory(std::size_t head_bytes, std::size_t headers);

/// Capacity that a body of unknown length should get so that `more` bytes fit; at most `body_limit`, or what
/// is needed now. The result bounds what the old and the new buffer take while the body is moved.
std::size_t grown_body_capacity(std::size_t size, std::size_t capacity, std::size_t more,
                                std::size_t body_limit);

/// A request body that has not been received in full.
struct unfinished_body {
    /// Bytes reserved for it.
    std::int64_t held{0};
    std::int64_t received{0};
    /// Bytes received at `marked_at`, the begin of the interval in which its progress is measured.
    std::int64_t received_at_mark{0};
    common::time_point marked_at;
    /// When the body must be complete.
    common::time_point due;
};

/// Time over which the progress of a body is measured.
inline constexpr common::milliseconds progress_interval{2000};

/// Whether the body received less than its part of the interval since the mark: what remains of it at the
/// mark, divided evenly over the time until its deadline. False before the interval has passed.
bool is_behind(const unfinished_body& it, common::time_point now);

/// Whether so much of the budget is in use that bodies which are behind are ended.
bool is_short(std::int64_t used, std::int64_t limit);

/// Indices of the bodies to end: those that are behind, largest first, until the budget is not short any
/// more. Empty while it is not.
std::vector<std::size_t> choose_ended_bodies(std::span<const unfinished_body> bodies, std::int64_t used,
                                             std::int64_t limit, common::time_point now);

} // namespace lycheegap::traffic
