#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/common/worker_pool.h"
#include "core/transport/peer_link.h"
#include "gateway_state.h"
#include "net.h"

namespace lycheegap::gateway {

/// Connections to and from the other hosts, and the workers that handle their requests.
struct fleet_link {
    std::unique_ptr<common::worker_pool> pool;
    std::optional<transport::peer_link> peers;
    /// "ip:port" on which other hosts connect to this one.
    std::string address;
};

/// Opens the listener for other hosts and sets `state.link`. Returns null when the listener cannot be opened;
/// `common::last_reason` then names the address.
std::unique_ptr<fleet_link> open_fleet_link(gateway_state& state, const std::string& ip, int port,
                                            const std::string& secret);

/// Sends a message to the host at `address` and waits for its reply; empty when none arrives by the deadline.
/// While bytes of the reply arrive, the deadline moves on up to `last_deadline`; the default sets a fixed
/// deadline.
awaitable<std::optional<schema::bytes>> call_host(fleet_link& link, std::string address,
                                                  schema::bytes message, common::time_point deadline,
                                                  common::time_point last_deadline = {});

} // namespace lycheegap::gateway
