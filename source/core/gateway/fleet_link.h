#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/common/worker_pool.h"
#include "core/transport/peer_link.h"
#include "gateway_state.h"
#include "net.h"

namespace lycheegap::gateway {

/// Streams to and from the other hosts, and the worker that answers their questions.
struct fleet_link {
    std::unique_ptr<common::worker_pool> pool;
    std::optional<transport::peer_link> peers;
    /// Where other hosts reach this one.
    std::string address;
};

/// Opens the listener for other hosts; the reason names the address when it cannot.
std::unique_ptr<fleet_link> open_fleet_link(gateway_state& state, const std::string& ip, int port,
                                            const std::string& secret);

/// Asks another host and waits for its answer; empty when there is none by the deadline.
awaitable<std::optional<schema::bytes>> ask_host(fleet_link& link, std::string address, schema::bytes message,
                                                 common::time_point deadline);

} // namespace lycheegap::gateway
