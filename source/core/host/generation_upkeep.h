#pragma once

namespace lycheegap::host {

struct host_state;

/// Joins the generation, and takes out members that are silent to most. Called after the store has answered.
void keep_membership(host_state& host);

/// Marks this incarnation as leaving, so that no new look-up answer names it. False when the store gives no
/// answer.
bool announce_leaving(host_state& host);

/// Takes this incarnation out of the generation. Gives up when the store gives no answer.
void leave_generation(host_state& host);

} // namespace lycheegap::host
