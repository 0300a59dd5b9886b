#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

namespace {

/// A response that ends with its connection.
std::string unframed_response(std::string_view body) {
    return fmt::format("HTTP/1.1 200 OK\r\nx-id: @ID@\r\n\r\n{}", body);
}

std::string upload_text(const std::string& path, const std::string& id, std::size_t bytes) {
    return request_text(path, id, fmt::format("Content-Length: {}\r\n", bytes), "POST") +
           std::string(bytes, 'u');
}

struct cut_off_upload {
    std::size_t bytes;
    /// Between the part of the response and the reset.
    int pause_ms;
};

} // namespace

// Guards against the end of a connection that is taken for the end of a response: the reset went to the write
// of the request, the read saw an ordinary end, and the caller got the part that had arrived as a whole.
TEST_CASE("a part of a response without a length reaches no caller when its connection is reset") {
    constexpr int requests = 10;
    for (const auto& it : {cut_off_upload{400'000, 0}, cut_off_upload{4'000'000, 0},
                           cut_off_upload{4'000'000, 5}, cut_off_upload{4'000'000, 30}}) {
        CAPTURE(it.bytes);
        CAPTURE(it.pause_ms);
        scripted_endpoint faulty([&](const auto&) {
            scripted_reply made{unframed_response("the first half")};
            made.reset = true;
            made.close_delay_ms = it.pause_ms;
            return made;
        });
        faulty.replies_early = true;
        const test_host host;
        host.use(faulty, "e1");
        for (int n = 0; n < requests; ++n) {
            // It may have run, so it gets a failure without promise.
            CHECK(send_and_read(host.address(), upload_text("/book/1", fmt::format("q{}", n), it.bytes),
                                "\r\n\r\n")
                      .starts_with("HTTP/1.1 502"));
        }
        CHECK(faulty.heads().size() == requests);
    }
}

TEST_CASE("a whole response without a length is served once the request was written") {
    scripted_endpoint sound([](const auto&) {
        scripted_reply made{unframed_response("all of it")};
        made.close = true;
        return made;
    });
    const test_host host;
    host.use(sound, "e1");
    for (const auto bytes : {0U, 10U, 5000U, 400'000U, 4'000'000U}) {
        CAPTURE(bytes);
        const auto id = fmt::format("q{}", bytes);
        const auto response = send_and_read(host.address(), upload_text("/book/1", id, bytes), "all of it");
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.ends_with("all of it"));
    }
}

} // namespace lycheegap::gateway
