#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace lycheegap::gateway {

/// How a scripted endpoint replies to one request.
struct scripted_reply {
    /// Bytes to send; "@ID@" is replaced by the request's id.
    std::string bytes;
    /// Closes the connection after the reply.
    bool close{false};
    /// Closes the connection with a TCP reset after the reply.
    bool reset{false};
    /// Delay before the reply; no reply is sent when the other side closes meanwhile.
    int delay_ms{0};
    /// Sent again and again after `bytes`, until the other side closes.
    std::string endless{};
    /// Pause between the reply and the close.
    int close_delay_ms{0};
};

/// An HTTP endpoint for tests. A function of the request head determines each reply.
class scripted_endpoint {
public:
    explicit scripted_endpoint(std::function<scripted_reply(const std::string& head)> script);
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;
    scripted_endpoint(scripted_endpoint&&) = delete;
    scripted_endpoint& operator=(scripted_endpoint&&) = delete;
    ~scripted_endpoint();

    [[nodiscard]] std::string address() const;
    /// Heads of all requests that arrived.
    std::vector<std::string> heads();

    /// Replies when the head of a request has arrived, before its body is read.
    std::atomic<bool> replies_early{false};
    /// Connections accepted so far.
    std::atomic<int> connections{0};
    /// Requests whose sender closed the connection before the reply.
    std::atomic<int> closed_early{0};
    /// Bytes that the other sides have accepted.
    std::atomic<std::size_t> bytes_sent{0};

private:
    void accept_all();
    void serve(int fd);
    bool reply_to(int fd, const std::string& head);

    std::function<scripted_reply(const std::string&)> script_;
    int listener_{-1};
    int port_{0};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::string> heads_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A complete response that echoes the request's id; `more` are further header lines.
std::string complete_response(const std::string& body, const std::string& status = "200 OK",
                              const std::string& more = "");

/// Replies without end: in the head, the body, chunks, trailers, and as interim (1xx) responses.
std::vector<scripted_reply> endless_replies();
/// Replies whose chunk extensions are without end: one long one, or one for each of many small chunks.
std::vector<scripted_reply> endless_chunk_extensions();

/// Bytes of a reply that the socket buffers of both sides may hold, in addition to what a client reads.
inline constexpr std::size_t max_socket_buffers = 24U << 20U;

/// Connects to an address, sends bytes and returns what was read until the text `until` arrived, the other
/// side closed, or nothing arrived for `timeout_ms`.
std::string send_and_read(const std::string& address, const std::string& bytes, const std::string& until,
                          int timeout_ms = 5000);

/// Like `send_and_read`, but sends the parts with a pause before each one after the first. Nothing is read
/// before the last part is sent.
std::string send_parts_and_read(const std::string& address, std::span<const std::string> parts,
                                std::chrono::milliseconds pause, const std::string& until,
                                int timeout_ms = 5000);

} // namespace lycheegap::gateway
