#include "process.h"

#include <csignal>

#include <malloc.h>

#include <curl/curl.h>
#include <sodium.h>

namespace lycheegap::common {

namespace {

// Larger blocks, such as bodies, are mapped, so that freeing one returns its memory to the system. By default
// glibc raises this limit up to 32 MB as such blocks are freed.
constexpr int mapped_block_bytes = 128 << 10;

/// Signals that `wait_for_stop` handles.
sigset_t handled_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

bool prepare_process() {
    const auto set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    return sodium_init() >= 0 && curl_global_init(CURL_GLOBAL_DEFAULT) == 0;
}

void wait_for_stop(const std::function<void()>& on_hangup) {
    const auto set = handled_signals();
    while (true) {
        int signal = 0;
        sigwait(&set, &signal);
        if (signal != SIGHUP) {
            return;
        }
        // Without a handler SIGHUP is ignored.
        if (on_hangup) {
            on_hangup();
        }
    }
}

} // namespace lycheegap::common
