#include <atomic>

#include <doctest/doctest.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/common/metrics.h"
#include "core/common/worker_pool.h"

namespace lycheegap::common {

TEST_CASE("fail stores step, peer and text for the calling thread") {
    const std::optional<int> none = fail(step::connect, "127.0.0.1:1", "refused");
    CHECK_FALSE(none);
    CHECK(describe_reason(last_reason()) == "step connect at '127.0.0.1:1': refused");
}

TEST_CASE("format_line quotes values with spaces and replaces line breaks") {
    CHECK(format_line("x", {{"a", "b"}, {"c", "d e"}, {"f", "g\nh"}}) == "event=x a=b c=\"d e\" f=\"g h\"");
}

// Guards against names from outside that begin a line or control a terminal.
TEST_CASE("format_line escapes control bytes") {
    CHECK(format_line("x", {{"a", "b\rc"}}) == "event=x a=\"b\\x0dc\"");
    CHECK(format_line("x", {{"a", "\x1b[2J\x7f\x01"}}) == "event=x a=\"\\x1b[2J\\x7f\\x01\"");
    CHECK(format_line("x", {{"a", "b\tc"}, {"d", "\xc3\xa9"}}) == "event=x a=\"b\tc\" d=\xc3\xa9");
}

TEST_CASE("locks may be taken only in increasing order of rank") {
    CHECK(may_lock(lock_rank::catalog_table, lock_rank::membership_table));
    CHECK_FALSE(may_lock(lock_rank::membership_table, lock_rank::catalog_table));
    CHECK_FALSE(may_lock(lock_rank::leaf, lock_rank::leaf));
}

TEST_CASE("the worker pool runs work in order of due time and discards the rest when it stops") {
    std::atomic<int> ran{0};
    std::atomic<bool> done{false};
    worker_pool pool(2);
    pool.submit_at(monotonic::now() + milliseconds(20), [&] { done = ran == 1; });
    pool.submit([&] { ran = 1; });
    pool.submit_at(monotonic::now() + std::chrono::hours(1), [&] { ran = 100; });
    while (!done) {
        std::this_thread::yield();
    }
    pool.stop();
    CHECK(ran == 1);
}

TEST_CASE("equal_secrets is true only for identical secrets") {
    CHECK(equal_secrets("a", "a"));
    CHECK_FALSE(equal_secrets("a", "b"));
    CHECK_FALSE(equal_secrets("a", ""));
    CHECK(key_digest("a").size() == 64);
}

TEST_CASE("counters and summaries are written in the exposition format") {
    metrics_table table;
    count(table, "lookups", 3);
    measure(table, "request_ms", 2);
    measure(table, "request_ms", 4);
    const auto text = exposition_text(read_metrics(table));
    CHECK(text.find("lycheegap_lookups 3\n") != std::string::npos);
    CHECK(text.find("lycheegap_request_ms_sum 6\n") != std::string::npos);
    CHECK(text.find("lycheegap_request_ms_count 2\n") != std::string::npos);
}

} // namespace lycheegap::common
