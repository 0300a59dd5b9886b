#pragma once

#include <string>

#include "core/transport/http_server.h"

namespace lycheegap::stand_ins {

/// Name and listen address of a stand-in process.
struct stand_in_options {
    /// Name in the log.
    std::string name;
    std::string address;
    /// 0 selects a free port.
    int port{0};
};

/// Parses --name, --address and --port. Prints the usage and returns nothing on --help or wrong usage.
std::optional<stand_in_options> parse_stand_in_options(int argc, char** argv,
                                                       const std::string& default_name);

/// Serves HTTP requests, one thread per connection, until SIGTERM or SIGINT, then calls `on_stop`, which has
/// to end waits in the handlers, and stops the server. Logs "ready" with the listen address. Returns the exit
/// code of the process.
int serve_until_stopped(const stand_in_options& options, transport::http_handler handler,
                        const std::function<void()>& on_stop);

} // namespace lycheegap::stand_ins
