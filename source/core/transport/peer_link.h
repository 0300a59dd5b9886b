#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/common/worker_pool.h"
#include "peer_session.h"

namespace lycheegap::transport {

/// Sends the answer to a request. May be called at most once, from any thread, also after the handler
/// returned.
using peer_responder = std::function<void(schema::bytes)>;

/// Handles one request on a worker of the pool. `message` is valid only while the handler runs.
using peer_handler = std::function<void(schema::byte_view message, const peer_responder& respond)>;

struct peer_link_options {
    /// IPv4 address to listen on and to connect from.
    std::string address;
    /// 0 lets the system choose a free port.
    int port{0};
    /// Shared secret that a client sends with each request and the server checks. Never logged.
    std::string secret;
};

/// HTTP/2 connections between this host and all other hosts. One I/O thread, the peer thread, reads and
/// writes all sockets with epoll; the worker pool runs the request handlers.
class peer_link {
public:
    struct state;

    explicit peer_link(std::unique_ptr<state> running);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&& other) noexcept;
    peer_link& operator=(peer_link&& other) noexcept;
    /// Calls `stop`.
    ~peer_link();

    /// Bound port.
    [[nodiscard]] int port() const;
    /// Sends `message` to the host at `address` ("ip:port") without blocking. `reply` is called exactly once,
    /// with the answer or, on an error or at the deadline, with nothing. While bytes of the answer arrive,
    /// the deadline moves on up to `last_deadline`; the default sets a fixed deadline.
    void call(std::string address, schema::bytes message, common::time_point deadline, peer_reply reply,
              common::time_point last_deadline = {});
    /// As `call`, but blocks until the call ends. Must not be called on the peer thread, where it would
    /// deadlock. On an error returns empty and sets `common::last_reason()`.
    std::optional<schema::bytes> call_and_wait(std::string address, schema::bytes message,
                                               common::time_point deadline);
    /// Fails all open calls of this host, closes all connections and joins the peer thread. Later calls fail
    /// at once. The object must outlive the workers of the pool, which may still hold a responder.
    void stop();

private:
    std::unique_ptr<state> state_;
};

/// Opens the listener and starts the peer thread. On an error returns empty, and `common::last_reason()`
/// holds the address and the cause.
std::optional<peer_link> start_peer_link(const peer_link_options& options, common::worker_pool& pool,
                                         peer_handler handler);

} // namespace lycheegap::transport
