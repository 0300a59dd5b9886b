#include <atomic>
#include <thread>

#include <fmt/format.h>

#include <doctest/doctest.h>

#include "core/gateway/message_headers.h"
#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using common::milliseconds;

namespace {

scripted_reply leaving_answer() {
    return {complete_response("last", "200 OK", "x-leaving: 1\r\n")};
}

scripted_reply refusal_with_rest(const std::string& retry_after) {
    return {complete_response("", "503 Service Unavailable",
                              "x-not-run: 1\r\nRetry-After: " + retry_after + "\r\n")};
}

std::string book(const test_host& host, const std::string& id) {
    return send_and_read(host.address(), request_text("/book/1", id, "", "POST"), "\r\n\r\n");
}

std::optional<milliseconds> retry_after_of(const std::string& text) {
    response_message response;
    response.set(http::field::retry_after, text);
    return parse_retry_after(response);
}

} // namespace

TEST_CASE("an endpoint that says it is leaving in an answer gets no further request") {
    scripted_endpoint leaving([](const auto&) { return leaving_answer(); });
    scripted_endpoint staying([](const auto&) { return scripted_reply{complete_response("next")}; });
    const test_host host;
    host.use(leaving, "e1");
    CHECK(book(host, "q1").starts_with("HTTP/1.1 200"));
    CHECK(book(host, "q2").starts_with("HTTP/1.1 503"));
    // An entry that says nothing of it does not undo it.
    host.use(leaving, "e1");
    CHECK(book(host, "q3").starts_with("HTTP/1.1 503"));
    host.use(staying, "e2");
    for (int n = 0; n < 5; ++n) {
        CHECK(book(host, fmt::format("p{}", n)).starts_with("HTTP/1.1 200"));
    }
    CHECK(leaving.heads().size() == 1);
    CHECK(staying.heads().size() == 5);
}

TEST_CASE(
    "an endpoint that says it is leaving in a refusal, an error or a stray answer gets no further request") {
    for (const auto& reply :
         {scripted_reply{
              complete_response("", "503 Service Unavailable", "x-not-run: 1\r\nx-leaving: 1\r\n")},
          scripted_reply{complete_response("", "500 Internal Server Error", "x-leaving: 1\r\n")},
          scripted_reply{"HTTP/1.1 200 OK\r\nx-id: other\r\nx-leaving: 1\r\nContent-Length: 0\r\n\r\n" +
                         complete_response("mine")},
          scripted_reply{"HTTP/1.1 200 OK\r\nx-id: @ID@\r\nx-leaving: 1\r\nContent-Length: 9\r\n\r\nhalf",
                         true}}) {
        CAPTURE(reply.bytes);
        scripted_endpoint endpoint([&](const auto&) { return reply; });
        const test_host host;
        host.use(endpoint);
        book(host, "q1");
        CHECK(book(host, "q2").starts_with("HTTP/1.1 503"));
        CHECK(endpoint.heads().size() == 1);
    }
}

TEST_CASE("another endpoint that has taken over the address does not make the former one count as leaving") {
    scripted_endpoint endpoint([](const auto&) {
        return scripted_reply{complete_response("", "421 Misdirected Request", "x-leaving: 1\r\n")};
    });
    const test_host host;
    host.use(endpoint);
    book(host, "q1");
    CHECK_FALSE(host.running->state->endpoints.set.by_id.at("e1")->wishes.leaving);
}

TEST_CASE("an endpoint that asks for rest gets no request until its end, and callers learn when that is") {
    std::atomic<int> arrived{0};
    scripted_endpoint tired([&](const auto&) {
        return arrived++ == 0 ? refusal_with_rest("0.6") : scripted_reply{complete_response("rested")};
    });
    const test_host host;
    host.use(tired);
    const auto began_at = common::monotonic::now();
    const auto first = book(host, "q1");
    CHECK(first.starts_with("HTTP/1.1 503"));
    const auto at = first.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(first.substr(at + 13)) > 0.3);
    CHECK(std::stod(first.substr(at + 13)) < 1.2);
    while (common::monotonic::now() - began_at < milliseconds(400)) {
        CHECK(book(host, "q2").starts_with("HTTP/1.1 503"));
    }
    CHECK(arrived == 1);
    while (common::monotonic::now() - began_at < milliseconds(900)) {
        std::this_thread::yield();
    }
    CHECK(book(host, "q3").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a rest that is no number of seconds is ignored, and an absurd one is bounded") {
    for (const auto* text :
         {"", "-1", "soon", "1 s", "nan", "inf", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(retry_after_of(text).has_value());
    }
    CHECK(retry_after_of("0") == milliseconds(0));
    CHECK(retry_after_of("0.25") == milliseconds(250));
    CHECK(retry_after_of("2") == milliseconds(2000));
    CHECK(retry_after_of("1e300") == traffic::max_rest);
}

} // namespace lycheegap::gateway
