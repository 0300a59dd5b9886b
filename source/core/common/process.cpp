#include "process.h"

#include <csignal>

#include <curl/curl.h>
#include <sodium.h>

namespace lycheegap::common {

namespace {

sigset_t stop_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

bool prepare_process() {
    auto set = stop_signals();
    // A program that reads its settings again waits for it; others go on.
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return sodium_init() >= 0 && curl_global_init(CURL_GLOBAL_DEFAULT) == 0;
}

void wait_for_stop() {
    const auto set = stop_signals();
    int signal = 0;
    sigwait(&set, &signal);
}

} // namespace lycheegap::common
