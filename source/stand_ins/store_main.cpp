#include "serve_until_stopped.h"
#include "store_table.h"

namespace stand_ins = lycheegap::stand_ins;

int main(int argc, char** argv) {
    const auto options = stand_ins::parse_stand_in_options(argc, argv, "store_stand_in");
    if (!options) {
        return EXIT_FAILURE;
    }
    stand_ins::store_table store;
    return stand_ins::serve_until_stopped(
        *options, [&](const auto& request) { return stand_ins::serve_store(store, request); },
        [&] { stand_ins::stop_store(store); });
}
