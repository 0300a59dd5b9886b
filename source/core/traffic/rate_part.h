#pragma once

#include <optional>

#include "cold_limit.h"
#include "rate_home.h"

namespace lycheegap::traffic {

/// This host's right to use a part of the teams' rate limits without asking the homes.
struct own_part {
    /// Since when it has been held without interruption; empty while it is not held.
    std::optional<common::time_point> since;
    /// Until when it is surely held, as far as known at the last update.
    common::time_point until;
    /// `fleet_view::member_since` at the last update.
    std::optional<common::time_point> member_since;
};

/// Updates the right from what the host knows of the fleet. Call it at intervals shorter than
/// `membership_validity`, and before each use.
void note_own_part(own_part& part, const membership_knowledge& knowledge, common::time_point now);

/// The host's own limit of a team with the limit `fleet`; zero while it holds no part.
rate_limit held_limit(const own_part& part, const fleet_view& view, const rate_limit& fleet);

/// Puts the host's own limit of a team in force. Tokens that were collected under an earlier right are
/// dropped, and time in which the host had no limit of its own is never credited. Call it when the fleet or
/// the part changes, and before each use.
void note_own_limit(team_tokens& tokens, const own_part& part, const rate_limit& own, common::time_point now);

} // namespace lycheegap::traffic
