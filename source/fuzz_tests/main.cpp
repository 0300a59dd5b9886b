#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include "core/common/log.h"
#include "core/common/process.h"

int main(int argc, char** argv) {
    if (!lycheegap::common::prepare_process()) {
        return EXIT_FAILURE;
    }
    // Logging is off: each rejected input would write a line.
    lycheegap::common::start_log("fuzz_tests", "off");
    doctest::Context context(argc, argv);
    return context.run();
}
