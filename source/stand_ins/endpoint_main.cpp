#include "endpoint_table.h"
#include "serve_until_stopped.h"

namespace stand_ins = lycheegap::stand_ins;

int main(int argc, char** argv) {
    const auto options = stand_ins::parse_stand_in_options(argc, argv, "endpoint_stand_in");
    if (!options) {
        return EXIT_FAILURE;
    }
    stand_ins::endpoint_table endpoint;
    endpoint.name = options->name;
    return stand_ins::serve_until_stopped(
        *options, [&](const auto& request) { return stand_ins::serve_endpoint(endpoint, request); },
        [&] { stand_ins::stop_endpoint(endpoint); });
}
