#pragma once

#include <memory>
#include <thread>
#include <vector>

#include "gateway_state.h"

namespace lycheegap::gateway {

/// A running entry host: its listener for callers and the workers that serve them.
struct running_gateway {
    std::unique_ptr<gateway_state> state;
    std::shared_ptr<tcp::acceptor> listener;
    std::vector<std::thread> workers;
};

/// Opens the listener and starts the workers; the reason names the address when it cannot.
std::unique_ptr<running_gateway> start_gateway(gateway_options options);

/// Planned stop: callers go elsewhere, requests under way are answered, then the workers end. Returns before
/// `stop_time` has passed.
void stop_gateway(running_gateway& running);

} // namespace lycheegap::gateway
