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
    options::options_description description("lycheegapctl: commands for operators of lycheegap");
    description.add_options()("help", "print this text");
    description.add_options()("host", options::value<std::string>(),
                              "IP number and port of any host's operator listener");
    description.add_options()("timeout-ms", options::value<int>()->default_value(20000),
                              "longest wait for the answer");
    description.add_options()("expected-revision", options::value<std::uint64_t>()->default_value(0),
                              "refuse the edit when its record was changed after this revision");
    description.add_options()("force", "set a record also when it was changed since it was shown");
    description.add_options()("words", options::value<std::vector<std::string>>(), "the command");
    return description;
}

options::variables_map parse_line(int argc, char** argv, const options::options_description& description) {
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv).options(description).positional(positional).run(),
                   values);
    options::notify(values);
    return values;
}

int report_failure() {
    std::cerr << "lycheegapctl: " << lycheegap::common::describe_reason(lycheegap::common::last_reason())
              << '\n';
    return EXIT_FAILURE;
}

int run(const options::variables_map& values) {
    const auto arguments = values["words"].as<std::vector<std::string>>();
    const lycheegap::ctl::edit_options edit{values["expected-revision"].as<std::uint64_t>(),
                                            values.contains("force")};
    const auto parsed_command = lycheegap::ctl::parse_command(arguments, edit);
    if (!parsed_command) {
        return report_failure();
    }
    const auto* secret = std::getenv("LYCHEEGAP_SECRET");
    lycheegap::ctl::operator_target target;
    target.address = values["host"].as<std::string>();
    target.secret = secret == nullptr ? "" : secret;
    target.deadline =
        lycheegap::common::monotonic::now() + lycheegap::common::milliseconds(values["timeout-ms"].as<int>());
    const auto answer = lycheegap::ctl::call_operator(target, *parsed_command);
    if (!answer) {
        return report_failure();
    }
    if (answer->status == status_ok && parsed_command->view != lycheegap::ctl::view_kind::raw) {
        const auto shown = lycheegap::ctl::show_records(*parsed_command, answer->body);
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
    const auto description = describe_options();
    try {
        const auto values = parse_line(argc, argv, description);
        if (values.contains("help") || !values.contains("words") || !values.contains("host")) {
            std::cout << description << lycheegap::ctl::usage_text()
                      << "The secret is read from the environment variable LYCHEEGAP_SECRET.\n";
            return values.contains("help") ? EXIT_SUCCESS : exit_usage;
        }
        return run(values);
    } catch (const options::error& ec) {
        std::cerr << "lycheegapctl: " << ec.what() << '\n';
        return exit_usage;
    }
}
