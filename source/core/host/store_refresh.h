#pragma once

namespace lycheegap::host {

struct host_state;

/// Starts the task that keeps the control record up to date from the store. A relay, one of the two hosts of
/// a failure domain that do so, watches the store all the time; other hosts read it only while they are not
/// members or when less than half of their authority's length is left.
void start_store_refresh(host_state& host);

} // namespace lycheegap::host
