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
    std::string folder;
    std::string known_red;
    bool check{false};
    bool help{false};
};

options::options_description describe_options(bench_options& chosen) {
    options::options_description described("bench: costs of the decisions and the running path in small");
    described.add_options()("help", options::bool_switch(&chosen.help), "print this text");
    described.add_options()("deployment", options::value(&chosen.deployments)->multitoken(),
                            "INI files of deployments to run");
    described.add_options()("csv", options::value(&chosen.folder), "folder for bench.csv");
    described.add_options()("known-red", options::value(&chosen.known_red),
                            "file that lists figures that may be beyond their bounds");
    described.add_options()("check", options::bool_switch(&chosen.check), "fail beyond a bound");
    return described;
}

bool run_all(const bench_options& chosen, std::vector<bench::figure>& figures) {
    figures = bench::run_decision_bench();
    for (const auto& file : chosen.deployments) {
        const auto where = bench::load_deployment(file);
        const auto more = where ? bench::run_path_bench(*where) : std::nullopt;
        if (!more) {
            std::cerr << "bench: " << common::describe(common::last_reason()) << '\n';
            return false;
        }
        figures.insert(figures.end(), more->begin(), more->end());
    }
    return true;
}

bool write_csv(const std::string& folder, const std::vector<bench::figure>& figures) {
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    std::ofstream file(folder + "/bench.csv");
    file << bench::figure_csv(figures);
    return file.good();
}

int run(const bench_options& chosen) {
    std::vector<bench::figure> figures;
    if (!run_all(chosen, figures)) {
        return EXIT_FAILURE;
    }
    const auto known_red = bench::load_known_red(chosen.known_red);
    std::cout << bench::figure_table(figures, known_red);
    if (!chosen.folder.empty() && !write_csv(chosen.folder, figures)) {
        std::cerr << "bench: " << chosen.folder << "/bench.csv cannot be written\n";
        return EXIT_FAILURE;
    }
    const auto beyond = std::count_if(figures.begin(), figures.end(), [&](const bench::figure& it) {
        return bench::judge(it, known_red) == bench::verdict::beyond;
    });
    std::cout << figures.size() << " figures, " << beyond << " beyond their bounds\n";
    return chosen.check && beyond > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    bench_options chosen;
    const auto described = describe_options(chosen);
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& ec) {
        std::cerr << "bench: " << ec.what() << '\n' << described;
        return exit_usage;
    }
    if (chosen.help || !common::prepare_process()) {
        std::cout << described;
        return chosen.help ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    common::start_log("bench", "warn");
    return run(chosen);
}
