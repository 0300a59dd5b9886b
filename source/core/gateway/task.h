#pragma once

#include <functional>
#include <string_view>

#include "gateway_state.h"
#include "net.h"

namespace lycheegap::gateway {

/// Runs `work` on `executor`. If an exception ends it, or ends an I/O operation that it waits for, the
/// failure is logged and counted and `on_failure` runs on `executor`, to release what the work held. `name`
/// outlives the work.
void spawn_task(gateway_state& state, const net::any_io_executor& executor, std::string_view name,
                awaitable<void> work, std::function<void()> on_failure = {});

/// Runs the work that `begin` returns, and begins it anew after a pause each time it fails.
void spawn_permanent_task(gateway_state& state, const net::any_io_executor& executor, std::string_view name,
                          const std::function<awaitable<void>()>& begin);

/// Runs handlers until the I/O context stops or has none left. An exception that leaves a handler is logged
/// and counted.
void run_handlers(gateway_state& state);

} // namespace lycheegap::gateway
