#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/common/process.h"
#include "decision_bench.h"
#include "path_bench.h"

namespace {

namespace options = boost::program_options;
namespace bench = lycheegap::benchmarks;
namespace common = lycheegap::common;

constexpr int exit_usage = 2;

struct bench_options {
    std::vector<std::string> deployments;
    std::string csv_folder;
    std::string known_failures;
    bool check{false};
    bool help{false};
};

options::options_description make_option_description(bench_options& arguments) {
    options::options_description description(
        "bench: CPU time of the decision functions, and deployments scaled to one machine under load");
    description.add_options()("help", options::bool_switch(&arguments.help), "print this text");
    description.add_options()("deployment", options::value(&arguments.deployments)->multitoken(),
                              "INI files of deployments to run");
    description.add_options()("csv", options::value(&arguments.csv_folder), "folder for bench.csv");
    description.add_options()("known-red", options::value(&arguments.known_failures),
                              "file of known failures: figures that may be out of their bounds");
    description.add_options()("check", options::bool_switch(&arguments.check),
                              "exit with status 1 when a figure is out of its bounds");
    return description;
}

bool run_all(const bench_options& arguments, std::vector<bench::figure>& figures) {
    figures = bench::run_decision_bench();
    for (const auto& file : arguments.deployments) {
        const auto config = bench::load_deployment(file);
        const auto results = config ? bench::run_path_bench(*config) : std::nullopt;
        if (!results) {
            std::cerr << "bench: " << common::describe_reason(common::last_reason()) << '\n';
            return false;
        }
        figures.insert(figures.end(), results->begin(), results->end());
    }
    return true;
}

bool write_csv(const std::string& csv_folder, const std::vector<bench::figure>& figures) {
    std::error_code ec;
    std::filesystem::create_directories(csv_folder, ec);
    std::ofstream file(csv_folder + "/bench.csv");
    file << bench::figure_csv(figures);
    return file.good();
}

int run(const bench_options& arguments) {
    std::vector<bench::figure> figures;
    if (!run_all(arguments, figures)) {
        return EXIT_FAILURE;
    }
    const auto known_failures = bench::load_known_failures(arguments.known_failures);
    std::cout << bench::figure_table(figures, known_failures);
    if (!arguments.csv_folder.empty() && !write_csv(arguments.csv_folder, figures)) {
        std::cerr << "bench: " << arguments.csv_folder << "/bench.csv cannot be written\n";
        return EXIT_FAILURE;
    }
    const auto out_of_bounds = std::count_if(figures.begin(), figures.end(), [&](const bench::figure& it) {
        return bench::check_bounds(it, known_failures) == bench::bound_status::out_of_bounds;
    });
    std::cout << figures.size() << " figures, " << out_of_bounds << " beyond their bounds\n";
    return arguments.check && out_of_bounds > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    bench_options arguments;
    const auto description = make_option_description(arguments);
    try {
        options::variables_map parsed;
        options::store(options::parse_command_line(argc, argv, description), parsed);
        options::notify(parsed);
    } catch (const options::error& ec) {
        std::cerr << "bench: " << ec.what() << '\n' << description;
        return exit_usage;
    }
    if (arguments.help || !common::prepare_process()) {
        std::cout << description;
        return arguments.help ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    common::start_log("bench", "warn");
    return run(arguments);
}
