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

/// One listener whose connections are passed on to `target`.
struct link_route {
    std::string name;
    /// "ip:port" of the listener and of the other side.
    std::string listen_address;
    std::string target;
};

/// State of the links from one source address over one route. An empty source stands for all others.
struct link_fault {
    /// No byte passes; connections stay open. What was held passes after the cut.
    bool cut{false};
    /// One-way latency.
    int delay_ms{0};
};

/// Shared by the relay thread and the control listener.
struct link_table {
    common::ranked_mutex mutex{common::lock_rank::leaf};
    /// By route name, then source IP number.
    std::map<std::string, std::map<std::string, link_fault>> faults;
    /// Rises when the connections open at that moment are to fall silent for good.
    std::map<std::string, std::uint64_t> silenced;
    bool stopping{false};
    /// Wakes the relay thread.
    int wake_fd{-1};
};

/// /control?route=R&from=IP&cut=0|1&delay_ms=N sets the links; &silence=1 makes the route's open connections
/// silent for good while new ones work.
transport::http_response serve_link_control(link_table& links, const transport::http_request& request);

/// Passes bytes until `links.stopping`; false when a listener cannot open. Calls `on_ready` once all are
/// open.
bool run_relay(link_table& links, const std::vector<link_route>& routes,
               const std::function<void()>& on_ready);

/// Ends `run_relay`.
void stop_relay(link_table& links);

} // namespace lycheegap::stand_ins
