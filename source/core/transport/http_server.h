#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http_message.h"

namespace lycheegap::transport {

/// Handles one request. Runs on a server thread; an exception becomes a 500 response.
using http_handler = std::function<http_response(const http_request&)>;

struct http_server_options {
    /// IPv4 address to listen on.
    std::string address;
    /// 0 lets the system choose a free port.
    int port{0};
    /// Number of worker threads; 0 uses one thread per connection.
    int workers{0};
    /// Maximum number of open connections.
    int connection_limit{1024};
    /// Maximum request body in bytes; a larger one is refused with 413.
    std::size_t body_limit{1 << 20};
};

/// A running HTTP server, based on ulfius and libmicrohttpd.
class http_server {
public:
    struct state;

    explicit http_server(std::unique_ptr<state> running);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&& other) noexcept;
    http_server& operator=(http_server&& other) noexcept;
    /// Calls `stop`.
    ~http_server();

    /// Bound port.
    [[nodiscard]] int port() const;
    /// Waits for running handlers and closes all connections. No effect on a stopped server.
    void stop();

private:
    std::unique_ptr<state> state_;
};

/// Starts a server. On an error returns empty, and `common::last_reason()` holds the address and the cause.
std::optional<http_server> start_http_server(const http_server_options& options, http_handler handler);

} // namespace lycheegap::transport
