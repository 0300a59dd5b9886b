#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "generation.h"

namespace lycheegap::membership {

/// Lease on the control state: until `deadline` a host may act on the version that it knows.
struct authority_lease {
    common::time_point deadline;
};

/// The last answer of a member to a heartbeat. `asked_at`: when this host sent the question, on its own
/// clock.
struct member_answer {
    std::string name;
    std::uint64_t incarnation{0};
    common::time_point asked_at;
    /// Version of the control state that the member knew.
    std::uint64_t version{0};
};

/// Identity of this host and the version of the control state that it knows.
struct own_state {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t version{0};
};

/// Extends the lease to `asked_at` plus `length`: the store confirmed, in answer to a question sent at
/// `asked_at`, that the version is current. Never shortens it.
void extend_by_store(authority_lease& target, common::time_point asked_at, common::milliseconds length);

/// Time, on this host's clock, that a relay's question to the store is counted from: the relay answered, to a
/// question sent at `asked_at`, that its last confirmation by the store was `age` old on its clock. Includes
/// the clock drift, so it is never later than the relay's question.
common::time_point relayed_asked_at(common::time_point asked_at, common::milliseconds age);

/// Extends the lease by the answers of members. The deadline becomes T + `length`, where T is the latest time
/// for which a majority of the generation, this host included, has answered a question sent at T or later
/// without knowing a newer version. Never shortens the lease; no effect if this incarnation is not a member
/// or there is no such majority.
void extend_by_members(authority_lease& target, const generation& current, const own_state& self,
                       std::span<const member_answer> answers, common::time_point now,
                       common::milliseconds length);

/// Whether the lease is still valid.
bool is_lease_valid(const authority_lease& current, common::time_point now);

} // namespace lycheegap::membership
