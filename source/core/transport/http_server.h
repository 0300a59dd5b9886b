#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_message.h"

namespace lycheegap::transport {

/// Answers one request; runs on a worker of the server.
using http_handler = std::function<http_response(const http_request&)>;

struct http_server_options {
    std::string address;
    /// 0 takes a free port.
    int port{0};
    /// Fixed number of workers; 0 gives each connection its own.
    int workers{0};
    int connection_limit{1024};
    /// Longest body in bytes; a longer one is refused with 413.
    std::size_t body_limit{1 << 20};
};

/// A running HTTP server on ulfius.
class http_server {
public:
    struct state;

    explicit http_server(std::unique_ptr<state> running);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&& other) noexcept;
    http_server& operator=(http_server&& other) noexcept;
    /// Stops as `stop` does.
    ~http_server();

    [[nodiscard]] int port() const;
    /// Ends the running handlers and closes all connections.
    void stop();

private:
    std::unique_ptr<state> state_;
};

/// Starts a server; the reason names the address when it cannot.
std::optional<http_server> start_http_server(const http_server_options& options, http_handler handler);

} // namespace lycheegap::transport
