#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "command.h"
#include "core/common/last_reason.h"
#include "core/common/process.h"
#include "operator_call.h"
#include "record_view.h"

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;
constexpr int status_ok = 200;

options::options_description describe_options() {
    options::options_description described("lycheegapctl: commands for operators of lycheegap");
    described.add_options()("help", "print this text");
    described.add_options()("host", options::value<std::string>(),
                            "IP number and port of any host's operator listener");
    described.add_options()("timeout-ms", options::value<int>()->default_value(20000),
                            "longest wait for the answer");
    described.add_options()("expected-revision", options::value<std::uint64_t>()->default_value(0),
                            "refuse the edit when its record was changed after this revision");
    described.add_options()("force", "set a record also when it was changed since it was shown");
    described.add_options()("words", options::value<std::vector<std::string>>(), "the command");
    return described;
}

options::variables_map parse_line(int argc, char** argv, const options::options_description& described) {
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map given;
    options::store(options::command_line_parser(argc, argv).options(described).positional(positional).run(),
                   given);
    options::notify(given);
    return given;
}

int report_failure() {
    std::cerr << "lycheegapctl: " << lycheegap::common::describe(lycheegap::common::last_reason()) << '\n';
    return EXIT_FAILURE;
}

int run(const options::variables_map& given) {
    const auto words = given["words"].as<std::vector<std::string>>();
    const lycheegap::ctl::edit_options wanted{given["expected-revision"].as<std::uint64_t>(),
                                              given.contains("force")};
    const auto parsed = lycheegap::ctl::parse_command(words, wanted);
    if (!parsed) {
        return report_failure();
    }
    const auto* secret = std::getenv("LYCHEEGAP_SECRET");
    lycheegap::ctl::operator_target target;
    target.address = given["host"].as<std::string>();
    target.secret = secret == nullptr ? "" : secret;
    target.deadline =
        lycheegap::common::monotonic::now() + lycheegap::common::milliseconds(given["timeout-ms"].as<int>());
    const auto answer = lycheegap::ctl::call_operator(target, *parsed);
    if (!answer) {
        return report_failure();
    }
    if (answer->status == status_ok && parsed->view != lycheegap::ctl::view_kind::answer) {
        const auto shown = lycheegap::ctl::show_records(*parsed, answer->body);
        if (!shown) {
            return report_failure();
        }
        std::cout << *shown;
        return EXIT_SUCCESS;
    }
    std::cout << answer->body << (answer->body.ends_with('\n') ? "" : "\n");
    return answer->status == status_ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv) {
    if (!lycheegap::common::prepare_process()) {
        std::cerr << "lycheegapctl: the libraries cannot be initialized\n";
        return EXIT_FAILURE;
    }
    const auto described = describe_options();
    try {
        const auto given = parse_line(argc, argv, described);
        if (given.contains("help") || !given.contains("words") || !given.contains("host")) {
            std::cout << described << lycheegap::ctl::usage_text()
                      << "The secret is read from the environment variable LYCHEEGAP_SECRET.\n";
            return given.contains("help") ? EXIT_SUCCESS : exit_usage;
        }
        return run(given);
    } catch (const options::error& ec) {
        std::cerr << "lycheegapctl: " << ec.what() << '\n';
        return exit_usage;
    }
}
