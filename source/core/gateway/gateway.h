#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "gateway_state.h"

namespace lycheegap::gateway {

/// A running gateway: the shared state, the listener for callers and the worker threads.
struct running_gateway {
    std::unique_ptr<gateway_state> state;
    std::shared_ptr<tcp::acceptor> listener;
    std::vector<std::thread> workers;
};

/// Opens the listener and starts the workers. Returns null when the listener cannot be opened;
/// `common::last_reason` then names the address.
std::unique_ptr<running_gateway> start_gateway(gateway_options options);

/// Graceful stop: closes idle caller connections and the listener, lets requests in flight finish, then joins
/// the workers. Returns before `stop_time` has passed; requests that need longer are dropped.
void stop_gateway(running_gateway& running);

} // namespace lycheegap::gateway
