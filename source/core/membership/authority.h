#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "generation.h"

namespace lycheegap::membership {

/// Until when a host may act on the version of the control record that it knows.
struct authority {
    common::time_point deadline;
};

/// The last answer of one member. `asked_at` is the moment this host sent the question, on its own clock.
struct member_answer {
    std::string name;
    std::uint64_t incarnation{0};
    common::time_point asked_at;
    /// Version of the control record that it held.
    std::uint64_t version{0};
};

/// What this host knows of itself when it weighs answers.
struct own_knowledge {
    std::string name;
    std::uint64_t incarnation{0};
    std::uint64_t version{0};
};

/// Extends by the store's word that the version is current, given to a question sent at `asked_at`.
void extend_by_store(authority& target, common::time_point asked_at, common::milliseconds length);

/// Moment, on this host's clock, at which a relay asked the store at the latest: the relay said, to a
/// question sent at `asked_at`, that its store's word was `age` old.
common::time_point relayed_asked_at(common::time_point asked_at, common::milliseconds age);

/// Extends by members: more than half of the generation, this host counted, answered questions sent no
/// earlier than some moment, none of them knowing a newer version; the deadline is that moment plus
/// `length`. No effect when this incarnation is no member.
void extend_by_members(authority& target, const generation& current, const own_knowledge& self,
                       std::span<const member_answer> answers, common::time_point now,
                       common::milliseconds length);

/// Whether the host may still act.
bool holds(const authority& source, common::time_point now);

} // namespace lycheegap::membership
