#include "task.h"

#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "core/common/log.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::milliseconds;
using common::monotonic;

// Pause before failed work begins anew.
constexpr milliseconds restart_pause{250};

std::string describe(const std::exception_ptr& failure) {
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& exception) {
        return exception.what();
    } catch (...) {
        return "unknown exception";
    }
}

void note_failure(gateway_state& state, std::string_view task, std::string_view reason) {
    common::count(state.metrics, "tasks_failed");
    if (may_log(state)) {
        common::log_error("task_failed", {field("task", task), field("reason", reason)});
    }
}

/// The end of a task. Destroyed without `succeeded` when an exception ended the task: asio destroys the
/// coroutine without calling the completion handler if the exception left an I/O operation.
struct task_end {
    task_end(gateway_state& table, const net::any_io_executor& where, std::string_view task,
             std::function<void()> action)
        : state(&table), executor(where), name(task), on_failure(std::move(action)) {}

    task_end(const task_end&) = delete;
    task_end& operator=(const task_end&) = delete;
    task_end(task_end&&) = delete;
    task_end& operator=(task_end&&) = delete;

    ~task_end() {
        if (succeeded) {
            return;
        }
        // Not run if the I/O context is being destroyed.
        net::post(executor, [state = state, name = name, reason = std::move(reason),
                             on_failure = std::move(on_failure)] {
            note_failure(*state, name, reason);
            if (on_failure) {
                on_failure();
            }
        });
    }

    gateway_state* state;
    net::any_io_executor executor;
    std::string_view name;
    std::function<void()> on_failure;
    std::string reason{"an I/O operation failed"};
    bool succeeded{false};
};

/// Runs `work` once more after a pause.
awaitable<void> run_after_pause(net::any_io_executor executor, std::function<awaitable<void>()> begin) {
    net::steady_timer timer(executor);
    co_await wait_until(timer, monotonic::now() + restart_pause);
    co_await begin();
}

void spawn_again(gateway_state& state, const net::any_io_executor& executor, std::string_view name,
                 const std::function<awaitable<void>()>& begin, awaitable<void> work) {
    spawn_task(state, executor, name, std::move(work), [&state, executor, name, begin] {
        spawn_again(state, executor, name, begin, run_after_pause(executor, begin));
    });
}

} // namespace

void spawn_task(gateway_state& state, const net::any_io_executor& executor, std::string_view name,
                awaitable<void> work, std::function<void()> on_failure) {
    auto end = std::make_unique<task_end>(state, executor, name, std::move(on_failure));
    net::co_spawn(executor, std::move(work), [end = std::move(end)](const std::exception_ptr& failure) {
        end->succeeded = !failure;
        if (failure) {
            end->reason = describe(failure);
        }
    });
}

void spawn_permanent_task(gateway_state& state, const net::any_io_executor& executor, std::string_view name,
                          const std::function<awaitable<void>()>& begin) {
    spawn_again(state, executor, name, begin, begin());
}

void run_handlers(gateway_state& state) {
    while (true) {
        try {
            state.io.run();
            return;
        } catch (const std::exception& exception) {
            note_failure(state, "handler", exception.what());
        } catch (...) {
            note_failure(state, "handler", "unknown exception");
        }
    }
}

} // namespace lycheegap::gateway
