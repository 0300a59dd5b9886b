#include "child_process.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lycheegap::failure_tests {

namespace {

constexpr auto log_poll_interval = common::milliseconds(5);

std::string find_field(const std::string& log, std::string_view event, std::string_view key) {
    const auto line_start = log.find("event=" + std::string(event));
    if (line_start == std::string::npos) {
        return {};
    }
    const auto line = log.substr(line_start, log.find('\n', line_start) - line_start);
    const auto prefix = " " + std::string(key) + "=";
    const auto found = line.find(prefix);
    if (found == std::string::npos) {
        return {};
    }
    const auto start = found + prefix.size();
    return line.substr(start, line.find(' ', start) - start);
}

} // namespace

child_process start_child(const std::string& program, std::span<const std::string> arguments,
                          const std::string& log_file) {
    const auto path = std::string(LYCHEEGAP_BIN_DIR) + "/" + program;
    std::vector<char*> argv{const_cast<char*>(path.c_str())};
    for (const auto& it : arguments) {
        argv.push_back(const_cast<char*>(it.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                     0600);
    posix_spawn_file_actions_adddup2(&actions, STDERR_FILENO, STDOUT_FILENO);
    child_process child;
    child.log_file = log_file;
    if (posix_spawn(&child.pid, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        child.pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    return child;
}

std::string wait_for_field(const child_process& child, std::string_view event, std::string_view key,
                           common::time_point deadline) {
    while (common::monotonic::now() < deadline) {
        auto value = find_field(read_log(child), event, key);
        if (!value.empty()) {
            return value;
        }
        std::this_thread::sleep_for(log_poll_interval);
    }
    return {};
}

void send_signal(const child_process& child, int signal) {
    if (child.pid > 0) {
        kill(child.pid, signal);
    }
}

int wait_for_end(child_process& child) {
    if (child.pid <= 0) {
        return -1;
    }
    int status = 0;
    waitpid(child.pid, &status, 0);
    child.pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void kill_child(child_process& child) {
    send_signal(child, SIGKILL);
    wait_for_end(child);
}

int stop_child(child_process& child) {
    // A process stopped by SIGSTOP does not handle SIGTERM until it continues.
    send_signal(child, SIGCONT);
    send_signal(child, SIGTERM);
    return wait_for_end(child);
}

std::string read_log(const child_process& child) {
    std::ifstream stream(child.log_file);
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

} // namespace lycheegap::failure_tests
