#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "caller_key.h"
#include "core/common/clock.h"
#include "request_id.h"

namespace lycheegap::execution {

/// Header that marks a stored answer whose body was too long to store.
inline constexpr std::string_view dropped_body_header = "x-body-dropped";

/// How a request with an id ended, as far as this host knows.
enum class outcome_state : std::uint8_t {
    /// Accepted; its outcome is not known yet.
    under_way,
    /// Ran; the endpoint's answer is stored.
    answered,
    /// Refused without having run.
    not_run,
    /// May have run; cannot be determined any more.
    unknown,
};

/// An answer stored for retries of the same request.
struct kept_answer {
    int status{0};
    std::vector<header> headers;
    std::string body;
};

/// What is known of the request with one id.
struct outcome_entry {
    outcome_state state{outcome_state::under_way};
    /// Hash of the request; detects a different request under the same id. 0 if an inquiry came first.
    std::uint64_t fingerprint{0};
    std::string team;
    kept_answer answer;
};

/// Bounds of an `outcome_memory`.
struct memory_limits {
    std::size_t entries{0};
    /// Approximate size of all entries.
    std::size_t bytes{0};
    /// Part of the entries that one team may fill, in percent.
    int team_percent{0};
    /// How long after its ticket was issued an id is accepted and its outcome stored.
    common::milliseconds lifetime{0};
    /// An answer with a longer body is stored without it.
    std::size_t answer_bytes{0};
};

/// Request ids and their outcomes, for the ids that one incarnation of a host issued. An id is removed only
/// once it has expired, so an unexpired id without an entry has never been run.
struct outcome_memory {
    std::uint64_t incarnation{0};
    /// Origin of the tickets' `issued_ms`.
    common::time_point started_at;
    memory_limits limits;
    /// Accepts no new ids: it was taken over from a host that left, or this host is about to leave.
    bool closed{false};
    /// When the memory was closed.
    common::time_point closed_at;
    std::map<request_id, outcome_entry> entries;
    /// Number of entries of each team.
    std::map<std::string, std::size_t, std::less<>> entries_by_team;
    /// Approximate size of all entries.
    std::size_t bytes{0};
};

/// What to do with a request by its id.
enum class id_verdict : std::uint8_t {
    /// New, now recorded as under way: run it and call `finish_request`.
    run,
    /// Already under way: wait for its outcome.
    wait,
    /// Finished: answer with the entry's outcome.
    remembered,
    /// The memory, or the team's part of it, is full; the id was not recorded.
    full,
    /// The ticket has expired: whether the request ran is not known, and it will not run.
    expired,
    /// A different request, or another team, already uses this id.
    mismatch,
    /// Not run and will not run: the memory is closed and has no entry for the id.
    closed,
    /// The ticket was not issued by this incarnation.
    invalid,
};

/// An empty memory whose tickets count from `now`.
outcome_memory make_outcome_memory(std::uint64_t incarnation, common::time_point now,
                                   const memory_limits& limits);

/// A ticket of the memory's incarnation, issued at `now`.
ticket issue_ticket(const outcome_memory& memory, std::uint64_t nonce, common::time_point now);

/// Looks up an id and records it as under way if it is new and accepted.
id_verdict begin_request(outcome_memory& memory, const request_id& id, std::uint64_t fingerprint,
                         std::string_view team, common::time_point now);

/// Stores the outcome of a request that is under way; no effect on any other.
void finish_request(outcome_memory& memory, const request_id& id, outcome_state state, kept_answer answer);

/// Entry of an id, or null.
const outcome_entry* find_outcome(const outcome_memory& memory, const request_id& id);

/// Outcome of an id, for a caller that inquires. An id without an entry is recorded as not run, so that the
/// request cannot run if it arrives later. Unknown for an invalid or expired id; empty if the memory is too
/// full to record it.
std::optional<outcome_state> resolve_request_outcome(outcome_memory& memory, const request_id& id,
                                                     common::time_point now);

/// Makes the memory accept no new ids.
void close_memory(outcome_memory& memory, common::time_point now);

/// Whether all ids of a closed memory have expired.
bool are_all_ids_expired(const outcome_memory& memory, common::time_point now);

/// A closed memory for the ids of a host that left. `age`: time since that host's start, as it reported.
outcome_memory adopt_memory(std::uint64_t incarnation, common::milliseconds age, common::time_point now,
                            const memory_limits& limits);

/// Adds an outcome of a host that left; one that was still under way there becomes unknown. An existing
/// entry stays.
void adopt_outcome(outcome_memory& memory, const request_id& id, outcome_entry entry);

/// Removes expired ids, except requests that are still under way.
void forget_expired(outcome_memory& memory, common::time_point now);

/// Number of requests that are under way.
std::size_t count_under_way(const outcome_memory& memory);

} // namespace lycheegap::execution
