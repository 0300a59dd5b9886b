#include <iostream>
#include <thread>

#include <boost/program_options.hpp>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/common/process.h"
#include "upload_endpoint.h"

namespace {

namespace common = lycheegap::common;
namespace options = boost::program_options;
namespace stand_ins = lycheegap::stand_ins;

constexpr int exit_usage = 2;

bool parse(int argc, char** argv, stand_ins::upload_endpoint& it) {
    options::options_description described("upload_endpoint_stand_in");
    described.add_options()("id", options::value(&it.id)->required(), "id of the endpoint in the store");
    described.add_options()("address", options::value(&it.address)->required(), "listen address, IP:PORT");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        return true;
    } catch (const options::error& ec) {
        std::cerr << "upload_endpoint_stand_in: " << ec.what() << '\n' << described;
        return false;
    }
}

} // namespace

int main(int argc, char** argv) {
    stand_ins::upload_endpoint endpoint;
    if (!parse(argc, argv, endpoint)) {
        return exit_usage;
    }
    if (!common::prepare_process()) {
        return EXIT_FAILURE;
    }
    common::start_log(endpoint.id, "info");
    lycheegap::gateway::net::io_context io;
    if (!stand_ins::start_upload_endpoint(io, endpoint)) {
        std::cerr << "upload_endpoint_stand_in: " << common::describe_reason(common::last_reason()) << '\n';
        return EXIT_FAILURE;
    }
    std::thread serving([&] { io.run(); });
    common::log_info("ready", {common::field("address", endpoint.address)});
    common::wait_for_stop();
    io.stop();
    serving.join();
    return EXIT_SUCCESS;
}
