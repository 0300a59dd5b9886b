#pragma once

namespace lycheegap::host {

struct host_state;

/// Joins the generation when this host is not a member; else removes members that most members report as
/// silent. Called after the store has answered.
void maintain_membership(host_state& host);

/// Marks this incarnation as leaving in the generation, so that no new look-up answer names it. False when
/// the store gives no answer.
bool announce_leaving(host_state& host);

/// Gives up this host's authority and removes this incarnation from the generation. Logs a warning when the
/// store gives no answer.
void leave_generation(host_state& host);

} // namespace lycheegap::host
