#include "platform_store.h"
#include "serve_until_stopped.h"

namespace stand_ins = lycheegap::stand_ins;

int main(int argc, char** argv) {
    const auto options = stand_ins::parse_stand_in_options(argc, argv, "platform_store_stand_in");
    if (!options) {
        return EXIT_FAILURE;
    }
    stand_ins::platform_store store;
    return stand_ins::serve_until_stopped(
        *options, [&](const auto& request) { return stand_ins::serve_platform_store(store, request); },
        [&] { stand_ins::stop_platform_store(store); });
}
