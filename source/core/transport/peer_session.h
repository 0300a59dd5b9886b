#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nghttp2/nghttp2.h>

#include "core/common/clock.h"
#include "core/schema/codec.h"

namespace lycheegap::transport {

/// Receives the answer to a call, or nothing on an error; `common::last_reason()` then holds the cause. Runs
/// on the I/O thread of `peer_link` (the peer thread) and must not block. For a call that the stopping link
/// no longer sends it runs on the thread in `peer_link::call` or `peer_link::stop`.
using peer_reply = std::function<void(std::optional<schema::bytes>)>;

/// One HTTP/2 stream: a request and its answer.
struct peer_stream {
    /// Message from the other side, as far as received.
    schema::bytes received;
    /// Message to the other side.
    schema::bytes outgoing;
    /// Bytes of `outgoing` already passed to nghttp2.
    std::size_t sent{0};
    /// On a server: the client sent the right secret. On a client: the server answered with status 200.
    bool authorized{false};
    /// Server side: the request has been received completely.
    bool complete{false};
    /// Client side only, as are the three times below.
    peer_reply reply;
    /// For the answer; moves on while its bytes arrive.
    common::time_point deadline;
    /// `deadline` does not move beyond this time.
    common::time_point last_deadline;
    /// Time at which `peer_link::call` was called.
    common::time_point started_at;
};

/// A completely received request.
struct peer_request {
    std::int32_t stream{0};
    schema::bytes message;
};

struct nghttp2_session_deleter {
    void operator()(nghttp2_session* session) const;
};

/// One TCP connection that carries HTTP/2. Used by the peer thread only.
struct peer_session {
    std::uint64_t id{0};
    int fd{-1};
    bool is_server{false};
    /// The TCP handshake has not finished yet.
    bool connecting{false};
    /// The socket is registered for EPOLLOUT.
    bool epollout_enabled{true};
    /// The connection must be closed.
    bool broken{false};
    /// "ip:port" of the other side.
    std::string peer;
    std::string secret;
    std::unique_ptr<nghttp2_session, nghttp2_session_deleter> http;
    std::map<std::int32_t, peer_stream> streams;
    /// Received requests that are not yet with the worker pool.
    std::vector<peer_request> requests;
    /// Output of nghttp2 that the socket has not accepted yet.
    schema::bytes send_buffer;
    /// Time of the last bytes received; at first the time of creation.
    common::time_point last_received_at;
};

/// Creates the HTTP/2 state of a connected or connecting socket and queues the SETTINGS frame.
std::unique_ptr<peer_session> make_session(std::uint64_t id, int fd, bool is_server, std::string peer,
                                           std::string secret);

/// Opens a stream for a call. `stream.reply` is called when the call ends.
void begin_call(peer_session& session, peer_stream stream);

/// Submits the answer to a received request. No effect when the stream has been closed.
void begin_answer(peer_session& session, std::int32_t stream, schema::bytes message);

/// Reads until the socket would block and appends complete requests to `requests`. Sets `broken` on an error
/// or when the peer has closed the connection.
void read_session(peer_session& session);

/// Writes until the socket would block. Sets `broken` on an error or when the HTTP/2 session is finished.
void write_session(peer_session& session);

/// True while output or a pending connect needs the socket to become writable.
bool wants_write(const peer_session& session);

/// Cancels calls past their deadline. Also sets `broken` when the connection is still connecting or has
/// received nothing since such a call started.
void expire_calls(peer_session& session, common::time_point now);

/// Closes the socket and fails all open calls with `reason`.
void close_session(peer_session& session, std::string_view reason);

} // namespace lycheegap::transport
