#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/common/ranked_mutex.h"
#include "core/transport/http_message.h"

namespace lycheegap::stand_ins {

/// A listener whose connections are relayed to `target`.
struct link_route {
    std::string name;
    /// "ip:port" of the listener.
    std::string listen_address;
    /// "ip:port" that connections are relayed to.
    std::string target;
};

/// Fault on the connections of one route from one source address.
struct link_fault {
    /// No bytes are relayed, connections stay open; buffered bytes are sent when the cut ends.
    bool cut{false};
    /// One-way latency.
    int delay_ms{0};
};

/// State shared by the relay thread and the control listener, guarded by `mutex`.
struct link_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    /// By route name, then source IP address. An empty address applies to all sources without their own
    /// entry.
    std::map<std::string, std::map<std::string, link_fault>> faults;
    /// By route name. Increasing it stops the relaying on all connections opened before, permanently.
    std::map<std::string, std::uint64_t> silence_generations;
    bool stopping{false};
    /// Event descriptor that wakes the relay thread.
    int wake_fd{-1};
};

/// Handles /control: route=R&from=IP&cut=0|1&delay_ms=N sets the faults of a route; &silence=1 permanently
/// stops the relaying on the route's open connections without closing them, while new connections work.
transport::http_response serve_link_control(link_table& links, const transport::http_request& request);

/// Relays bytes until `stop_relay` is called. Calls `on_ready` once all listeners are open; returns false
/// when one cannot be opened.
bool run_relay(link_table& links, const std::vector<link_route>& routes,
               const std::function<void()>& on_ready);

/// Makes `run_relay` return.
void stop_relay(link_table& links);

} // namespace lycheegap::stand_ins
