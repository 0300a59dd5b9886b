#pragma once

#include <cstdint>
#include <string>

namespace lycheegap::membership {

/// The rule that a searched history runs under: the product's, or a naive one.
enum class rule : std::uint8_t {
    product,
    /// A host that once knew a version acts for ever.
    serve_on,
    /// Answers count from their arrival and not from their question.
    from_receipt,
    /// Half of the members is enough.
    half_is_enough,
    /// Only the store's word counts.
    fail_closed,
    /// Acceptance asks the newest members only.
    newest_members_only,
};

/// What one history did.
struct history_result {
    std::uint64_t admissions{0};
    /// Requests refused for lack of authority at hosts that run.
    std::uint64_t refusals{0};
    std::uint64_t accepted{0};
    std::uint64_t changes_of_members{0};
    /// Admissions under a version older than the newest accepted one.
    std::uint64_t breaches{0};
};

/// Runs one history on virtual time: hosts that join, stop, restart and pause, a store with outages and lost
/// answers, cuts, late and lost messages, clocks with different rates, and concurrent edits.
history_result run_history(std::uint64_t seed, rule chosen);

} // namespace lycheegap::membership
