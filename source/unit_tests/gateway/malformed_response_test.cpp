#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

using namespace std::string_literals;

namespace {

/// Lines that a response may not have among its fields.
const std::vector<std::string>& malformed_lines() {
    static const std::vector<std::string> lines = {
        "x more: 1"s,          "x\tmore: 1"s,    "x\0more: 1"s,
        "x\x01more: 1"s,       "x\x7fmore: 1"s,  "x\xe9more: 1"s,
        "x\rmore: 1"s,         "x\nmore: 1"s,    " x-more: 1"s,
        "\tx-more: 1"s,        "x-more : 1"s,    "x-more\t: 1"s,
        "Content-Length : 2"s, "x-more"s,        ": 1"s,
        "x-more: \0 1"s,       "x-more: a\x01"s, "x-more: a\x7f"s,
        "x-more: a\rb"s,       "x-\x1b[2J: 1"s,  "Content-Length: 2\r\nContent-Length: 3"s};
    return lines;
}

/// A response with the line before or after the other fields, or among the trailers.
std::vector<std::string> responses_with(const std::string& line) {
    return {fmt::format("HTTP/1.1 200 OK\r\n{}\r\nx-id: @ID@\r\nContent-Length: 4\r\n\r\nbody", line),
            fmt::format("HTTP/1.1 200 OK\r\nx-id: @ID@\r\nContent-Length: 4\r\n{}\r\n\r\nbody", line),
            fmt::format("HTTP/1.1 200 OK\r\nx-id: @ID@\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "4\r\nbody\r\n0\r\n{}\r\n\r\n",
                        line)};
}

/// A host whose only endpoint sends the bytes that the test sets.
struct answering_endpoint {
    std::string bytes;
    scripted_endpoint endpoint{[this](const auto&) { return scripted_reply{bytes}; }};
    test_host host;
    int requests{0};

    answering_endpoint() {
        host.use(endpoint, "e1");
    }

    /// What a caller gets.
    std::string answer(std::string sent) {
        bytes = std::move(sent);
        const auto id = fmt::format("q{}", ++requests);
        return send_and_read(host.address(), request_text("/book/1", id, "", "POST"), "\r\n\r\n");
    }
};

} // namespace

TEST_CASE("a response with a malformed field reaches no caller") {
    answering_endpoint faulty;
    for (const auto& line : malformed_lines()) {
        CAPTURE(line);
        for (const auto& bytes : responses_with(line)) {
            CHECK(faulty.answer(bytes).starts_with("HTTP/1.1 502"));
        }
    }
    for (const auto& bytes : responses_with("x-more: 1")) {
        CHECK(faulty.answer(bytes).starts_with("HTTP/1.1 200"));
    }
}

// Guards against a length that is read as the end of a body whose coding is unknown.
TEST_CASE("a response with an unknown transfer coding reaches no caller") {
    answering_endpoint faulty;
    for (const auto* coding :
         {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "x"}) {
        CAPTURE(coding);
        const auto fields = {fmt::format("Transfer-Encoding: {}\r\n", coding),
                             fmt::format("Transfer-Encoding: {}\r\nContent-Length: 4\r\n", coding),
                             fmt::format("Content-Length: 4\r\nTransfer-Encoding: {}\r\n", coding)};
        for (const auto& it : fields) {
            CAPTURE(it);
            CHECK(faulty.answer("HTTP/1.1 200 OK\r\nx-id: @ID@\r\n" + it + "\r\nbody")
                      .starts_with("HTTP/1.1 502"));
        }
    }
    for (const auto* coding : {"chunked", "Chunked", " chunked\t"}) {
        CAPTURE(coding);
        CHECK(faulty
                  .answer(fmt::format("HTTP/1.1 200 OK\r\nx-id: @ID@\r\nTransfer-Encoding: {}\r\n\r\n"
                                      "4\r\nbody\r\n0\r\n\r\n",
                                      coding))
                  .starts_with("HTTP/1.1 200"));
    }
}

} // namespace lycheegap::gateway
