#pragma once

namespace lycheegap::common {

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and all it starts later, ignores SIGPIPE and prepares the
/// libraries that want a call before the first thread. Call it first in main.
bool prepare_process();

/// Waits for SIGTERM or SIGINT.
void wait_for_stop();

} // namespace lycheegap::common
