#include "serve_until_stopped.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/common/process.h"
#include "core/transport/listen_socket.h"

namespace lycheegap::stand_ins {

namespace {

namespace options = boost::program_options;

constexpr int connection_limit = 4096;
constexpr std::size_t body_limit = 64U << 20U;

} // namespace

std::optional<stand_in_options> parse_stand_in_options(int argc, char** argv,
                                                       const std::string& default_name) {
    stand_in_options parsed;
    options::options_description described(default_name);
    described.add_options()("help", "print this text");
    described.add_options()("name", options::value(&parsed.name)->default_value(default_name),
                            "name in the log");
    described.add_options()("address", options::value(&parsed.address)->default_value("127.0.0.1"),
                            "listen IP address");
    described.add_options()("port", options::value(&parsed.port)->default_value(0),
                            "listen port; 0 selects a free one");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        if (!given.contains("help")) {
            return parsed;
        }
    } catch (const options::error& ec) {
        std::cerr << default_name << ": " << ec.what() << '\n';
    }
    std::cerr << described;
    return std::nullopt;
}

int serve_until_stopped(const stand_in_options& options, transport::http_handler handler,
                        const std::function<void()>& on_stop) {
    if (!common::prepare_process()) {
        return EXIT_FAILURE;
    }
    common::start_log(options.name, "info");
    transport::http_server_options server_options;
    server_options.address = options.address;
    server_options.port = options.port;
    server_options.connection_limit = connection_limit;
    server_options.body_limit = body_limit;
    auto server = transport::start_http_server(server_options, std::move(handler));
    if (!server) {
        std::cerr << options.name << ": " << common::describe_reason(common::last_reason()) << '\n';
        return EXIT_FAILURE;
    }
    common::log_info("ready",
                     {common::field("address", transport::join_address(options.address, server->port()))});
    common::wait_for_stop();
    on_stop();
    server->stop();
    return EXIT_SUCCESS;
}

} // namespace lycheegap::stand_ins
