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

/// Marks a kept answer whose body was too long to keep.
inline constexpr std::string_view dropped_body_header = "x-body-dropped";

/// How a request with an id ended, as far as this host knows.
enum class outcome_state : std::uint8_t {
    under_way,
    /// Ran; the endpoint's answer is kept.
    answered,
    /// Refused, and certainly never run.
    not_run,
    /// May have run; nobody can tell.
    unknown,
};

/// What a caller gets, kept for its repeats.
struct kept_answer {
    int status{0};
    std::vector<header> headers;
    std::string body;
};

struct outcome_entry {
    outcome_state state{outcome_state::under_way};
    /// Tells another request under the same id apart.
    std::uint64_t fingerprint{0};
    std::string team;
    kept_answer answer;
};

struct memory_limits {
    std::size_t entries{0};
    std::size_t bytes{0};
    /// Part of the entries that one team may fill, in percent.
    int team_percent{0};
    /// An id works, and its outcome is remembered, for so long after its ticket was issued.
    common::milliseconds lifetime{0};
    /// A longer answer is kept without its body.
    std::size_t answer_bytes{0};
};

/// Ids and outcomes of one incarnation. Ids are forgotten at the very moment at which they stop working, so
/// an id that is not found here has never been run.
struct outcome_memory {
    std::uint64_t incarnation{0};
    /// Tickets count from here.
    common::time_point started_at;
    memory_limits limits;
    /// Takes no new ids: they were taken over from a host that left, or this host is about to leave.
    bool closed{false};
    /// When that began.
    common::time_point closed_at;
    std::map<request_id, outcome_entry> entries;
    std::map<std::string, std::size_t, std::less<>> entries_by_team;
    std::size_t bytes{0};
};

/// What to do with an id that has arrived.
enum class id_verdict : std::uint8_t {
    /// New and now under way: run it and call `finish_request`.
    run,
    /// Under way: wait for its outcome.
    wait,
    /// Give the entry's outcome.
    remembered,
    /// The memory is full; the id was not taken.
    full,
    /// The ticket's time is over: nothing is known of the id and nothing will be run.
    expired,
    /// Another request has this id.
    mismatch,
    /// Never run here, and never will be: the memory is closed.
    closed,
    /// The ticket was never issued by this incarnation.
    invalid,
};

outcome_memory make_memory(std::uint64_t incarnation, common::time_point now, const memory_limits& limits);

/// A ticket of this incarnation.
ticket issue_ticket(const outcome_memory& memory, std::uint64_t nonce, common::time_point now);

/// Decides on an id and takes it when it is new.
id_verdict begin_request(outcome_memory& memory, const request_id& id, std::uint64_t fingerprint,
                         std::string_view team, common::time_point now);

/// Keeps the end of a request that `begin_request` let run.
void finish_request(outcome_memory& memory, const request_id& id, outcome_state state, kept_answer answer);

/// Entry of an id, or null.
const outcome_entry* find_outcome(const outcome_memory& memory, const request_id& id);

/// Answers an inquiry. An id that has not arrived is taken as refused, so that "not run" stays true when it
/// arrives later. Unknown for an expired id; empty when the memory is too full to settle it now.
std::optional<outcome_state> settle_request(outcome_memory& memory, const request_id& id,
                                            common::time_point now);

/// Takes no new ids from now on.
void close_memory(outcome_memory& memory, common::time_point now);

/// Whether no id of a closed memory works any more.
bool is_spent(const outcome_memory& memory, common::time_point now);

/// Memory taken over from a host that left; `age` is the time since that host's start as it told it.
outcome_memory adopt_memory(std::uint64_t incarnation, common::milliseconds age, common::time_point now,
                            const memory_limits& limits);

/// Adds an outcome that was taken over. One that was still under way can never be known.
void adopt_outcome(outcome_memory& memory, const request_id& id, outcome_entry entry);

/// Forgets ids whose tickets have expired.
void forget_expired(outcome_memory& memory, common::time_point now);

/// Requests that are under way.
std::size_t count_under_way(const outcome_memory& memory);

} // namespace lycheegap::execution
