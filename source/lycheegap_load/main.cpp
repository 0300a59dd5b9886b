#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "core/common/process.h"
#include "load_run.h"

namespace {

namespace options = boost::program_options;
namespace load = lycheegap::load;

constexpr int exit_usage = 2;

options::options_description describe_options(load::load_plan& plan) {
    options::options_description description("lycheegap_load: callers' load with seeded arrivals");
    description.add_options()("help", "print this text");
    description.add_options()("lookup", options::value(&plan.lookup_addresses)->multitoken()->required(),
                              "IP numbers and ports of look-up listeners");
    description.add_options()("region", options::value(&plan.region), "region of the callers");
    description.add_options()("key", options::value(&plan.key), "the team's key");
    description.add_options()("method", options::value(&plan.method), "HTTP method");
    description.add_options()("path", options::value(&plan.path), "path of the requests");
    description.add_options()("body", options::value(&plan.body), "body of the requests");
    description.add_options()("rate", options::value(&plan.rate), "requests a second");
    description.add_options()("seconds", options::value(&plan.seconds), "length of the run");
    description.add_options()("seed", options::value(&plan.seed), "seed of the arrivals");
    description.add_options()("workers", options::value(&plan.workers), "requests under way at once");
    description.add_options()("timeout-ms", options::value(&plan.timeout_ms), "longest wait for an answer");
    return description;
}

} // namespace

int main(int argc, char** argv) {
    if (!lycheegap::common::prepare_process()) {
        return EXIT_FAILURE;
    }
    load::load_plan plan;
    const auto description = describe_options(plan);
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return EXIT_SUCCESS;
        }
        options::notify(values);
    } catch (const options::error& ec) {
        std::cerr << "lycheegap_load: " << ec.what() << '\n' << description;
        return exit_usage;
    }
    const auto ends = load::run_load(plan);
    std::cout << load::outcome_table(ends) << load::summary_line(load::summarize(ends)) << '\n';
    return EXIT_SUCCESS;
}
