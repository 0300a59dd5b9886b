#pragma once

#include <cstdint>
#include <string>

namespace lycheegap::membership {

/// The rule for authorities that a simulated history uses: the product's or a faulty variant.
enum class rule : std::uint8_t {
    product,
    /// A host that has known any version acts without a time limit.
    serve_on,
    /// Answers count from their arrival instead of from the time of the question.
    from_receipt,
    /// Half of the members suffices instead of a majority.
    half_is_enough,
    /// Only the store extends an authority; answers of members do not.
    fail_closed,
    /// Acceptance needs confirmations of the newest generation only.
    newest_members_only,
};

/// Counts of one history.
struct history_result {
    std::uint64_t admissions{0};
    /// Requests refused by running hosts without a valid authority.
    std::uint64_t refusals{0};
    std::uint64_t accepted{0};
    std::uint64_t membership_changes{0};
    /// Admissions under a version older than the newest accepted one.
    std::uint64_t stale_admissions{0};
};

/// Runs one random history on simulated time: hosts join, stop, restart and pause; the store has outages and
/// loses answers; messages are late or lost, links are cut, clocks run at different rates, edits are
/// concurrent.
history_result run_history(std::uint64_t seed, rule chosen);

} // namespace lycheegap::membership
