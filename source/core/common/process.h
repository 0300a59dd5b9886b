#pragma once

#include <functional>

namespace lycheegap::common {

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in all threads that it starts later, ignores
/// SIGPIPE, and initializes the libraries that require it before the first thread starts. Call it first in
/// main. Returns false when a library cannot be initialized.
bool prepare_process();

/// Blocks until SIGTERM or SIGINT arrives. Each SIGHUP meanwhile calls `on_hangup`, unless it is empty.
void wait_for_stop(const std::function<void()>& on_hangup = {});

} // namespace lycheegap::common
