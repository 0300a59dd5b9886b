#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/common/worker_pool.h"
#include "peer_session.h"

namespace lycheegap::transport {

/// Sends the answer to a request; may be called once, later and by any thread.
using peer_responder = std::function<void(schema::bytes)>;

/// Takes one request; runs on a worker of the pool. The message holds while it runs.
using peer_handler = std::function<void(schema::byte_view message, const peer_responder& respond)>;

struct peer_link_options {
    std::string address;
    /// 0 takes a free port.
    int port{0};
    /// Both sides show it; never logged.
    std::string secret;
};

/// This host's streams to and from all other hosts. One thread moves the bytes and waits in epoll; requests
/// are handled by the worker pool.
class peer_link {
public:
    struct state;

    explicit peer_link(std::unique_ptr<state> running);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&& other) noexcept;
    peer_link& operator=(peer_link&& other) noexcept;
    /// Stops as `stop` does.
    ~peer_link();

    [[nodiscard]] int port() const;
    /// Sends `message` to the host at `address` ("ip:port") and hands the answer to `reply`, once.
    void call(std::string address, schema::bytes message, common::time_point deadline, peer_reply reply);
    /// Sends and waits. Not to be called on the peer thread.
    std::optional<schema::bytes> call_and_wait(std::string address, schema::bytes message,
                                               common::time_point deadline);
    /// Ends all calls and closes all connections. Later calls end at once. The object must outlive the pool's
    /// last worker, which may still hold a responder.
    void stop();

private:
    std::unique_ptr<state> state_;
};

/// Starts the thread and the listener; the reason names the address when it cannot.
std::optional<peer_link> start_peer_link(const peer_link_options& options, common::worker_pool& pool,
                                         peer_handler handler);

} // namespace lycheegap::transport
