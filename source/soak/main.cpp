#include <iostream>

#include <boost/program_options.hpp>

#include "core/common/process.h"
#include "soak_run.h"

namespace {

namespace options = boost::program_options;
namespace soak = lycheegap::soak;

constexpr int exit_usage = 2;

/// Options of the command line.
struct soak_options {
    std::uint64_t first_seed{1};
    std::uint64_t seed_count{1};
    int fault_seconds{20};
    soak::soak_size size;
};

void print(std::uint64_t seed, const soak::soak_result& result) {
    std::cout << "seed " << seed << ": " << result.calls << " calls";
    for (const auto& [status, n] : result.calls_by_status) {
        std::cout << ", " << n << " with " << status;
    }
    std::cout << ", " << result.faults.size() << " faults, " << result.findings.size() << " findings"
              << std::endl;
    if (result.findings.empty()) {
        return;
    }
    for (const auto& it : result.faults) {
        std::cout << "  fault " << soak::name_of(it.kind) << " target=" << it.target
                  << " at_ms=" << it.at.count() << " for_ms=" << it.length.count() << '\n';
    }
    for (const auto& it : result.findings) {
        std::cout << "  violated: " << it.guarantee << ": " << it.detail << '\n';
    }
    std::cout << "  logs in " << result.folder << '\n';
}

/// Runs the seeds one after the other; returns how many violated a guarantee or did not start.
int run_seeds(const soak_options& run_options) {
    int failed = 0;
    for (auto seed = run_options.first_seed; seed < run_options.first_seed + run_options.seed_count; ++seed) {
        const auto result = soak::run_soak(seed, run_options.size);
        print(seed, result);
        failed += result.started && result.findings.empty() ? 0 : 1;
    }
    std::cout << run_options.seed_count << " seeds, " << failed << " failed\n";
    return failed;
}

} // namespace

int main(int argc, char** argv) {
    soak_options run_options;
    options::options_description described("lycheegap_soak: injects random faults into a fleet of the users' "
                                           "platform, run as processes on this machine");
    described.add_options()("help", "print this text");
    described.add_options()("seed", options::value(&run_options.first_seed)->default_value(1), "first seed");
    described.add_options()("seeds", options::value(&run_options.seed_count)->default_value(1),
                            "number of seeds");
    described.add_options()("seconds", options::value(&run_options.fault_seconds)->default_value(20),
                            "time with faults, s");
    described.add_options()("hosts", options::value(&run_options.size.hosts)->default_value(6),
                            "hosts, 2 or more");
    described.add_options()("endpoints", options::value(&run_options.size.endpoints)->default_value(5),
                            "endpoints, 2 or more");
    described.add_options()("callers", options::value(&run_options.size.callers)->default_value(12),
                            "callers");
    described.add_options()("unused-routes",
                            options::value(&run_options.size.unused_routes)->default_value(1400),
                            "routes of the configuration that nobody calls");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
        if (given.contains("help")) {
            std::cout << described;
            return EXIT_SUCCESS;
        }
    } catch (const options::error& ec) {
        std::cerr << "lycheegap_soak: " << ec.what() << '\n' << described;
        return exit_usage;
    }
    if (run_options.size.hosts < 2 || run_options.size.endpoints < 2 ||
        !lycheegap::common::prepare_process()) {
        std::cerr << "lycheegap_soak: needs at least two hosts and two endpoints\n";
        return exit_usage;
    }
    run_options.size.fault_phase_length = lycheegap::common::milliseconds{run_options.fault_seconds * 1000};
    return run_seeds(run_options) == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
