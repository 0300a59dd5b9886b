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

/// Takes the answer to a call, or nothing when there is none; then the last reason tells why. Runs on the
/// peer thread and must not wait.
using peer_reply = std::function<void(std::optional<schema::bytes>)>;

/// One message and its answer.
struct peer_stream {
    schema::bytes received;
    schema::bytes outgoing;
    std::size_t sent{0};
    /// The other side showed the secret (server) or answered with status 200 (client).
    bool admitted{false};
    bool complete{false};
    /// Client side only.
    peer_reply reply;
    common::time_point deadline;
    common::time_point asked_at;
};

/// A request that has arrived whole.
struct peer_arrival {
    std::int32_t stream{0};
    schema::bytes message;
};

struct nghttp2_session_deleter {
    void operator()(nghttp2_session* session) const;
};

/// One TCP connection with nghttp2 on it. Owned and used by the peer thread alone.
struct peer_session {
    std::uint64_t id{0};
    int fd{-1};
    bool is_server{false};
    bool connecting{false};
    /// The socket is watched for becoming writable.
    bool watches_write{true};
    /// The connection must be closed.
    bool broken{false};
    /// Address of the other side.
    std::string peer;
    std::string secret;
    std::unique_ptr<nghttp2_session, nghttp2_session_deleter> http;
    std::map<std::int32_t, peer_stream> streams;
    std::vector<peer_arrival> arrivals;
    schema::bytes unsent;
    common::time_point heard_at;
};

/// Prepares the nghttp2 state of a connected socket.
std::unique_ptr<peer_session> make_session(std::uint64_t id, int fd, bool is_server, std::string peer,
                                           std::string secret);

/// Opens a stream for a call and hands its end to `stream.reply`.
void begin_call(peer_session& session, peer_stream stream);

/// Answers an arrived request. No effect when the stream is gone.
void begin_answer(peer_session& session, std::int32_t stream, schema::bytes message);

/// Reads what has come and fills `arrivals`; sets `broken` at the end of the connection or on an error.
void read_session(peer_session& session);

/// Writes what can be written.
void write_session(peer_session& session);

/// Whether something waits for the socket to become writable.
bool wants_write(const peer_session& session);

/// Ends calls past their deadline. A connection on which nothing was heard since the call began is broken.
void expire_calls(peer_session& session, common::time_point now);

/// Ends all calls and closes the socket.
void close_session(peer_session& session, std::string_view why);

} // namespace lycheegap::transport
