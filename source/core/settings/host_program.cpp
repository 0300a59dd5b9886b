#include "host_program.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

#include "core/common/last_reason.h"
#include "core/common/process.h"

namespace lycheegap::settings {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;

options::options_description describe_options(const host_program& program) {
    options::options_description help_text(program.name + ": " + program.description);
    help_text.add_options()("help", "print this text");
    help_text.add_options()("settings", options::value<std::string>(),
                            "run with the settings in this INI file");
    help_text.add_options()("check-settings", options::value<std::string>(),
                            "check a settings file and exit");
    help_text.add_options()("settings-reference", "print all settings as Markdown and exit");
    return help_text;
}

int report_failure(const host_program& program) {
    std::cerr << program.name << ": " << common::describe_reason(common::last_reason()) << '\n';
    return EXIT_FAILURE;
}

int check_settings(const host_program& program, const std::string& file) {
    if (!program.is_valid(file)) {
        return report_failure(program);
    }
    std::cout << file << ": the settings are valid\n";
    return EXIT_SUCCESS;
}

int dispatch(const host_program& program, const options::variables_map& arguments,
             const options::options_description& help_text) {
    if (arguments.contains("check-settings")) {
        return check_settings(program, arguments["check-settings"].as<std::string>());
    }
    if (arguments.contains("settings-reference")) {
        std::cout << program.reference_markdown();
        return EXIT_SUCCESS;
    }
    if (arguments.contains("settings")) {
        return program.run(arguments["settings"].as<std::string>()) ? EXIT_SUCCESS : report_failure(program);
    }
    std::cout << help_text;
    return arguments.contains("help") ? EXIT_SUCCESS : exit_usage;
}

} // namespace

int run_host_program(const host_program& program, int argc, char** argv) {
    if (!common::prepare_process()) {
        std::cerr << program.name << ": the libraries cannot be initialized\n";
        return EXIT_FAILURE;
    }
    const auto help_text = describe_options(program);
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, help_text), arguments);
        return dispatch(program, arguments, help_text);
    } catch (const options::error& ec) {
        std::cerr << program.name << ": " << ec.what() << '\n';
        return exit_usage;
    }
}

} // namespace lycheegap::settings
