#include "peer_session.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <numeric>

#include <sys/socket.h>
#include <unistd.h>

#include "core/common/digest.h"
#include "core/common/last_reason.h"

namespace lycheegap::transport {

namespace {

using common::fail;
using common::step;

constexpr std::size_t max_message_bytes = 4U << 20U;
// Of all messages of a session that have not arrived in full.
constexpr std::size_t max_partial_bytes = 16U << 20U;
// Longest pause between bytes of an answer: a round trip between regions and one lost packet.
constexpr common::milliseconds max_answer_stall{500};
constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr std::uint32_t max_concurrent_streams = 1024;
constexpr std::int32_t flow_control_window_bytes = 8 << 20;

peer_session& to_session(void* user_data) {
    return *static_cast<peer_session*>(user_data);
}

std::string_view to_text(const std::uint8_t* data, std::size_t size) {
    return {reinterpret_cast<const char*>(data), size};
}

nghttp2_nv header_pair(std::string_view name, std::string_view value, std::uint8_t flags) {
    auto* name_data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    auto* value_data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    return {name_data, value_data, name.size(), value.size(), flags};
}

void finish_call(peer_session& session, std::int32_t id, std::optional<schema::bytes> answer) {
    const auto it = session.streams.find(id);
    if (it == session.streams.end()) {
        return;
    }
    const auto reply = std::move(it->second.reply);
    session.streams.erase(it);
    if (reply) {
        reply(std::move(answer));
    }
}

int on_begin_headers(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user_data) {
    auto& session = to_session(user_data);
    if (session.is_server) {
        session.streams.try_emplace(frame->hd.stream_id);
    }
    return 0;
}

int on_header(nghttp2_session* /*http*/, const nghttp2_frame* frame, const std::uint8_t* name,
              std::size_t name_size, const std::uint8_t* value, std::size_t value_size,
              std::uint8_t /*flags*/, void* user_data) {
    auto& session = to_session(user_data);
    const auto it = session.streams.find(frame->hd.stream_id);
    if (it == session.streams.end()) {
        return 0;
    }
    const auto header = to_text(name, name_size);
    const auto content = to_text(value, value_size);
    if (session.is_server && header == "authorization") {
        it->second.authorized = common::equal_secrets(content, session.secret);
    }
    if (!session.is_server && header == ":status") {
        it->second.authorized = content == "200";
    }
    return 0;
}

std::size_t partial_bytes(const peer_session& session) {
    return std::accumulate(session.streams.begin(), session.streams.end(), std::size_t{0},
                           [](std::size_t all, const auto& it) { return all + it.second.received.size(); });
}

int on_data(nghttp2_session* /*http*/, std::uint8_t /*flags*/, std::int32_t id, const std::uint8_t* data,
            std::size_t size, void* user_data) {
    auto& session = to_session(user_data);
    const auto it = session.streams.find(id);
    if (it == session.streams.end() || !it->second.authorized) {
        return 0;
    }
    auto& received = it->second.received;
    if (received.size() + size > max_message_bytes || partial_bytes(session) + size > max_partial_bytes) {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    const auto* first = reinterpret_cast<const std::byte*>(data);
    received.insert(received.end(), first, first + size);
    if (!session.is_server) {
        // To ask anew would have the other side send the same bytes again, over a link that is full already.
        const auto stall_end = common::monotonic::now() + max_answer_stall;
        it->second.deadline = std::max(it->second.deadline, std::min(stall_end, it->second.last_deadline));
    }
    return 0;
}

void reject_stream(peer_session& session, std::int32_t id) {
    const std::array headers = {header_pair(":status", "401", NGHTTP2_NV_FLAG_NONE)};
    nghttp2_submit_response(session.http.get(), id, headers.data(), headers.size(), nullptr);
}

void on_request_end(peer_session& session, std::int32_t id, peer_stream& stream) {
    if (!stream.authorized) {
        reject_stream(session, id);
        return;
    }
    stream.complete = true;
    session.requests.push_back({id, std::move(stream.received)});
}

void on_response_end(peer_session& session, std::int32_t id, peer_stream& stream) {
    if (!stream.authorized) {
        finish_call(session, id,
                    fail(step::authenticate, session.peer, "the peer refused this host's secret"));
        return;
    }
    finish_call(session, id, std::move(stream.received));
}

int on_frame(nghttp2_session* /*http*/, const nghttp2_frame* frame, void* user_data) {
    auto& session = to_session(user_data);
    if ((frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
        return 0;
    }
    const auto it = session.streams.find(frame->hd.stream_id);
    if (it == session.streams.end()) {
        return 0;
    }
    if (session.is_server) {
        on_request_end(session, it->first, it->second);
    } else {
        on_response_end(session, it->first, it->second);
    }
    return 0;
}

int on_stream_close(nghttp2_session* /*http*/, std::int32_t id, std::uint32_t ec, void* user_data) {
    auto& session = to_session(user_data);
    finish_call(session, id, fail(step::receive, session.peer, nghttp2_http2_strerror(ec)));
    return 0;
}

ssize_t read_outgoing(nghttp2_session* /*http*/, std::int32_t /*id*/, std::uint8_t* buf, std::size_t size,
                      std::uint32_t* flags, nghttp2_data_source* source, void* /*user_data*/) {
    auto& stream = *static_cast<peer_stream*>(source->ptr);
    const auto n = std::min(size, stream.outgoing.size() - stream.sent);
    if (n > 0) {
        std::memcpy(buf, stream.outgoing.data() + stream.sent, n);
    }
    stream.sent += n;
    if (stream.sent == stream.outgoing.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(n);
}

nghttp2_session* new_http_session(peer_session& session) {
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, &on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, &on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &on_data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &on_frame);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, &on_stream_close);
    nghttp2_session* http = nullptr;
    if (session.is_server) {
        nghttp2_session_server_new(&http, callbacks, &session);
    } else {
        nghttp2_session_client_new(&http, callbacks, &session);
    }
    nghttp2_session_callbacks_del(callbacks);
    return http;
}

void submit_settings(nghttp2_session* http) {
    const std::array<nghttp2_settings_entry, 2> entries = {
        {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_concurrent_streams},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(flow_control_window_bytes)}}};
    nghttp2_submit_settings(http, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(http, NGHTTP2_FLAG_NONE, 0, flow_control_window_bytes);
}

void fill_send_buffer(peer_session& session) {
    while (true) {
        const std::uint8_t* data = nullptr;
        const auto n = nghttp2_session_mem_send(session.http.get(), &data);
        if (n < 0) {
            session.broken = true;
            return;
        }
        if (n == 0) {
            return;
        }
        const auto* first = reinterpret_cast<const std::byte*>(data);
        session.send_buffer.insert(session.send_buffer.end(), first, first + n);
    }
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

void nghttp2_session_deleter::operator()(nghttp2_session* session) const {
    nghttp2_session_del(session);
}

std::unique_ptr<peer_session> make_session(std::uint64_t id, int fd, bool is_server, std::string peer,
                                           std::string secret) {
    auto session = std::make_unique<peer_session>();
    session->id = id;
    session->fd = fd;
    session->is_server = is_server;
    session->peer = std::move(peer);
    session->secret = std::move(secret);
    session->last_received_at = common::monotonic::now();
    session->http.reset(new_http_session(*session));
    submit_settings(session->http.get());
    return session;
}

void begin_call(peer_session& session, peer_stream stream) {
    // NO_INDEX keeps the secret out of the HPACK dynamic table.
    const std::array headers = {
        header_pair(":method", "POST", NGHTTP2_NV_FLAG_NONE),
        header_pair(":scheme", "http", NGHTTP2_NV_FLAG_NONE),
        header_pair(":path", "/v1/message", NGHTTP2_NV_FLAG_NONE),
        header_pair(":authority", session.peer, NGHTTP2_NV_FLAG_NONE),
        header_pair("authorization", session.secret, NGHTTP2_NV_FLAG_NO_INDEX),
    };
    const auto next = static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(session.http.get()));
    const auto [it, inserted] = session.streams.emplace(next, std::move(stream));
    nghttp2_data_provider provider{};
    provider.source.ptr = &it->second;
    provider.read_callback = &read_outgoing;
    const auto id = nghttp2_submit_request(session.http.get(), nullptr, headers.data(), headers.size(),
                                           &provider, nullptr);
    if (id != next || !inserted) {
        session.broken = true;
        finish_call(session, next,
                    fail(step::send, session.peer, "no further stream can be opened on this connection"));
    }
}

void begin_answer(peer_session& session, std::int32_t stream, schema::bytes message) {
    const auto it = session.streams.find(stream);
    if (it == session.streams.end()) {
        return;
    }
    it->second.outgoing = std::move(message);
    nghttp2_data_provider provider{};
    provider.source.ptr = &it->second;
    provider.read_callback = &read_outgoing;
    const std::array headers = {header_pair(":status", "200", NGHTTP2_NV_FLAG_NONE)};
    nghttp2_submit_response(session.http.get(), stream, headers.data(), headers.size(), &provider);
}

void read_session(peer_session& session) {
    std::array<std::uint8_t, read_buffer_bytes> buf{};
    while (!session.broken) {
        const auto n = recv(session.fd, buf.data(), buf.size(), 0);
        if (n < 0 && would_block()) {
            return;
        }
        if (n <= 0) {
            session.broken = true;
            return;
        }
        session.last_received_at = common::monotonic::now();
        const auto consumed =
            nghttp2_session_mem_recv(session.http.get(), buf.data(), static_cast<std::size_t>(n));
        if (consumed != n) {
            session.broken = true;
        }
    }
}

void write_session(peer_session& session) {
    if (session.connecting) {
        return;
    }
    fill_send_buffer(session);
    while (!session.send_buffer.empty() && !session.broken) {
        const auto n = send(session.fd, session.send_buffer.data(), session.send_buffer.size(), MSG_NOSIGNAL);
        if (n < 0 && would_block()) {
            return;
        }
        if (n <= 0) {
            session.broken = true;
            return;
        }
        session.send_buffer.erase(session.send_buffer.begin(), session.send_buffer.begin() + n);
    }
    if (nghttp2_session_want_read(session.http.get()) == 0 &&
        nghttp2_session_want_write(session.http.get()) == 0) {
        session.broken = true;
    }
}

bool wants_write(const peer_session& session) {
    return session.connecting || !session.send_buffer.empty();
}

void expire_calls(peer_session& session, common::time_point now) {
    std::vector<std::int32_t> expired;
    for (const auto& [id, it] : session.streams) {
        if (!session.is_server && it.deadline <= now) {
            expired.push_back(id);
            session.broken =
                session.broken || session.connecting || session.last_received_at <= it.started_at;
        }
    }
    for (const auto id : expired) {
        nghttp2_submit_rst_stream(session.http.get(), NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
        // The entry stays until nghttp2 closes the stream, because nghttp2 may still read its outgoing data.
        auto& stream = session.streams.at(id);
        stream.deadline = common::time_point::max();
        if (const auto reply = std::exchange(stream.reply, nullptr)) {
            reply(fail(step::receive, session.peer, "no answer before the deadline"));
        }
    }
}

void close_session(peer_session& session, std::string_view reason) {
    // The streams are detached first: a reply may access the session.
    auto streams = std::exchange(session.streams, {});
    session.http.reset();
    close(session.fd);
    session.fd = -1;
    for (auto& [id, it] : streams) {
        if (it.reply) {
            it.reply(fail(step::receive, session.peer, reason));
        }
    }
}

} // namespace lycheegap::transport
