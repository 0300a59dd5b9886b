#pragma once

#include <string>

namespace lycheegap::settings {

/// Parameters of `run_host_program` for one executable. A function that returns false has set
/// `common::last_reason`.
struct host_program {
    std::string name;
    std::string description;
    /// Checks a settings file without starting the program.
    bool (*is_valid)(const std::string& file){nullptr};
    /// Reference of all settings in Markdown.
    std::string (*reference_markdown)(){nullptr};
    /// Runs with the settings of a file until the program is stopped. False when it could not start.
    bool (*run)(const std::string& file){nullptr};
};

/// Main function of the executables that run an entry host: initializes the process, executes the command
/// line and returns the exit status.
int run_host_program(const host_program& program, int argc, char** argv);

} // namespace lycheegap::settings
