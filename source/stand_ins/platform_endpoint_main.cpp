#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "core/common/clock.h"
#include "core/transport/listen_socket.h"
#include "platform_endpoint.h"
#include "serve_until_stopped.h"

namespace {

namespace options = boost::program_options;
namespace stand_ins = lycheegap::stand_ins;

constexpr int exit_usage = 2;

bool parse(int argc, char** argv, stand_ins::platform_registration& it) {
    options::options_description described("platform_endpoint_stand_in");
    described.add_options()("id", options::value(&it.id)->required(), "id of the endpoint in the store");
    described.add_options()("service", options::value(&it.service)->required(),
                            "service that the endpoint belongs to");
    described.add_options()("address", options::value(&it.address)->required(), "listen address, IP:PORT");
    described.add_options()("advertise", options::value(&it.advertised_address),
                            "address in the store entry, if not the listen address");
    described.add_options()("zone", options::value(&it.zone)->required(), "failure domain");
    described.add_options()("store", options::value(&it.store_address)->required(),
                            "address of the store, IP:PORT");
    described.add_options()("capacity", options::value(&it.capacity), "requests that run at the same time");
    described.add_options()("service-ms", options::value(&it.service_ms), "service time of a request, ms");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        return true;
    } catch (const options::error& ec) {
        std::cerr << "platform_endpoint_stand_in: " << ec.what() << '\n' << described;
        return false;
    }
}

} // namespace

int main(int argc, char** argv) {
    stand_ins::platform_endpoint endpoint;
    if (!parse(argc, argv, endpoint.registration)) {
        return exit_usage;
    }
    const auto listen_address = lycheegap::transport::split_address(endpoint.registration.address);
    if (!listen_address) {
        return exit_usage;
    }
    endpoint.started_unix_ms = lycheegap::common::unix_milliseconds();
    std::thread registrar([&] { stand_ins::keep_endpoint_registered(endpoint); });
    const int code = stand_ins::serve_until_stopped(
        {endpoint.registration.id, listen_address->ip, listen_address->port},
        [&](const auto& request) { return stand_ins::serve_platform_endpoint(endpoint, request); },
        [&] { stand_ins::stop_platform_endpoint(endpoint); });
    stand_ins::stop_platform_endpoint(endpoint);
    registrar.join();
    return code;
}
