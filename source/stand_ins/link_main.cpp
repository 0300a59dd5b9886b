#include <csignal>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <boost/program_options.hpp>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/common/process.h"
#include "core/transport/http_server.h"
#include "core/transport/listen_socket.h"
#include "link_table.h"

namespace {

namespace options = boost::program_options;
namespace common = lycheegap::common;
namespace stand_ins = lycheegap::stand_ins;
namespace transport = lycheegap::transport;

constexpr int exit_usage = 2;

/// Parses "NAME=LISTEN_IP:PORT=TARGET_IP:PORT".
std::optional<stand_ins::link_route> parse_route(const std::string& text) {
    std::istringstream stream(text);
    stand_ins::link_route route;
    std::getline(stream, route.name, '=');
    std::getline(stream, route.listen_address, '=');
    std::getline(stream, route.target, '=');
    if (route.target.empty()) {
        return common::fail(common::step::read_settings, text,
                            "not of the form NAME=LISTEN_IP:PORT=TARGET_IP:PORT");
    }
    return route;
}

std::optional<std::vector<stand_ins::link_route>> parse_routes(const std::vector<std::string>& texts) {
    std::vector<stand_ins::link_route> routes;
    for (const auto& it : texts) {
        const auto route = parse_route(it);
        if (!route) {
            return std::nullopt;
        }
        routes.push_back(*route);
    }
    return routes;
}

int report_failure() {
    std::cerr << "link_stand_in: " << common::describe_reason(common::last_reason()) << '\n';
    return EXIT_FAILURE;
}

int run(const std::string& address, const std::vector<stand_ins::link_route>& routes) {
    common::start_log("link_stand_in", "info");
    stand_ins::link_table links;
    const transport::http_server_options control_options{address, 0, 0, 64, 1024};
    auto control = transport::start_http_server(
        control_options, [&](const auto& request) { return stand_ins::serve_link_control(links, request); });
    if (!control) {
        return report_failure();
    }
    bool opened = false;
    const auto on_ready = [&] {
        common::log_info("ready",
                         {common::field("address", transport::join_address(address, control->port()))});
    };
    std::thread relay([&] {
        opened = stand_ins::run_relay(links, routes, on_ready);
        if (!opened) {
            report_failure();
            kill(getpid(), SIGTERM);
        }
    });
    common::wait_for_stop();
    stand_ins::stop_relay(links);
    relay.join();
    return opened ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    std::string address;
    std::vector<std::string> texts;
    options::options_description described(
        "link_stand_in: TCP relay whose connections tests can cut, delay or silence");
    described.add_options()("address", options::value(&address)->default_value("127.0.0.1"),
                            "IP address of the control listener");
    described.add_options()("route", options::value(&texts)->required(),
                            "NAME=LISTEN_IP:PORT=TARGET_IP:PORT");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& ec) {
        std::cerr << "link_stand_in: " << ec.what() << '\n' << described;
        return exit_usage;
    }
    const auto routes = parse_routes(texts);
    if (!routes || !common::prepare_process()) {
        return report_failure();
    }
    return run(address, *routes);
}
