#pragma once

#include <string>

#include "core/transport/http_server.h"

namespace lycheegap::stand_ins {

/// Listener of a stand-in.
struct stand_in_options {
    std::string name;
    std::string address;
    int port{0};
};

/// Reads --name, --address and --port besides what `argc` and `argv` hold for others; empty on wrong usage.
std::optional<stand_in_options> parse_stand_in_options(int argc, char** argv,
                                                       const std::string& default_name);

/// Serves with one thread per connection until SIGTERM or SIGINT, then calls `on_stop` and ends the handlers.
int serve_until_stopped(const stand_in_options& options, transport::http_handler handler,
                        const std::function<void()>& on_stop);

} // namespace lycheegap::stand_ins
