#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

// Guards against statuses that are none being passed on as an endpoint's answer.
TEST_CASE("an answer with an impossible status reaches no caller") {
    for (const auto* status :
         {"000 Nothing", "099 Early", "101 Switching Protocols", "600 Beyond", "999 Far Beyond"}) {
        CAPTURE(status);
        scripted_endpoint faulty(
            [&](const auto&) { return scripted_reply{complete_response("body", status)}; });
        const test_host host;
        host.use(faulty, "e1");
        // It may have run, so it gets a failure without promise, and no second endpoint.
        CHECK(send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "\r\n\r\n")
                  .starts_with("HTTP/1.1 502"));
        CHECK(faulty.heads().size() == 1);
        scripted_endpoint sound([](const auto&) { return scripted_reply{complete_response("sound")}; });
        host.use(sound, "e2");
        for (const auto* id : {"r1", "r2", "r3", "r4"}) {
            CHECK(send_and_read(host.address(), request_text("/read/1", id), "sound")
                      .starts_with("HTTP/1.1 200"));
        }
    }
}

TEST_CASE("a response is awaited behind informational ones, up to a bound") {
    const std::string early = "HTTP/1.1 103 Early Hints\r\n\r\n";
    scripted_endpoint few(
        [&](const auto&) { return scripted_reply{early + early + complete_response("done")}; });
    scripted_endpoint many([&](const auto&) {
        scripted_reply made{early};
        made.endless = early;
        return made;
    });
    const test_host host;
    host.use(few, "e1");
    CHECK(send_and_read(host.address(), request_text("/book/1", "q1", "", "POST"), "done")
              .starts_with("HTTP/1.1 200"));
    const test_host other;
    other.use(many, "e1");
    CHECK(send_and_read(other.address(), request_text("/book/1", "q2", "", "POST"), "\r\n\r\n")
              .starts_with("HTTP/1.1 502"));
}

} // namespace lycheegap::gateway
