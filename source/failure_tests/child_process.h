#pragma once

#include <span>
#include <string>
#include <string_view>

#include <sys/types.h>

#include "core/common/clock.h"

namespace lycheegap::failure_tests {

/// A process started from an executable of this build.
struct child_process {
    /// -1 when the start failed and after the process has ended and was waited for.
    pid_t pid{-1};
    /// File that receives its standard output and standard error.
    std::string log_file;
};

/// Starts `program` from the build's bin folder and appends its output to `log_file`; the pid is -1 on
/// failure.
child_process start_child(const std::string& program, std::span<const std::string> arguments,
                          const std::string& log_file);

/// Waits until the log has a line of `event` and returns the value of `key` in the first one; empty when
/// `deadline` passes first.
std::string wait_for_field(const child_process& child, std::string_view event, std::string_view key,
                           common::time_point deadline);

/// Sends a signal; no effect on a process that has ended.
void send_signal(const child_process& child, int signal);

/// Waits until the process ends; returns its exit status, or -1 when a signal ended it or none was running.
int wait_for_end(child_process& child);

/// Sends SIGKILL and waits until the process ends.
void kill_child(child_process& child);

/// Sends SIGTERM, for a graceful stop, and returns the exit status as wait_for_end does.
int stop_child(child_process& child);

/// Returns the contents of the log file; empty when it cannot be read.
std::string read_log(const child_process& child);

} // namespace lycheegap::failure_tests
