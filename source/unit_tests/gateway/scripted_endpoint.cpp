#include "scripted_endpoint.h"

#include <array>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/transport/listen_socket.h"

namespace lycheegap::gateway {

namespace {

constexpr int poll_ms = 20;
// Of a client, so that an answer it doesn't read stays with its sender.
constexpr int receive_buffer_bytes = 65536;

bool wait_readable(int fd, int timeout_ms) {
    pollfd one{fd, POLLIN, 0};
    return poll(&one, 1, timeout_ms) > 0;
}

/// Returns the number of bytes that were sent; fewer than all when the other side has closed.
std::size_t send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(n);
    }
    return sent;
}

std::string id_of(const std::string& head) {
    const std::string name = "x-id: ";
    const auto at = head.find(name);
    return at == std::string::npos ? ""
                                   : head.substr(at + name.size(), head.find("\r\n", at) - at - name.size());
}

std::size_t length_of(std::string_view head) {
    constexpr std::string_view name = "Content-Length: ";
    const auto at = head.find(name);
    // The body may follow, which must not be copied at each read.
    return at == std::string_view::npos ? 0 : std::stoul(std::string(head.substr(at + name.size(), 20)));
}

const std::string head_begin = "HTTP/1.1 200 OK\r\nx-id: @ID@\r\n";

scripted_reply endless(std::string begin, std::string rest) {
    return {std::move(begin), false, false, 0, std::move(rest)};
}

/// Makes the next close of the socket send a TCP reset.
void close_with_reset(int fd) {
    const linger now{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace

scripted_endpoint::scripted_endpoint(std::function<scripted_reply(const std::string& head)> script)
    : script_(std::move(script)) {
    const auto opened = transport::open_listener("127.0.0.1", 0);
    listener_ = opened->fd;
    port_ = opened->port;
    acceptor_ = std::thread([this] { accept_all(); });
}

scripted_endpoint::~scripted_endpoint() {
    stopping_ = true;
    acceptor_.join();
    for (auto& it : threads_) {
        it.join();
    }
    close(listener_);
}

std::string scripted_endpoint::address() const {
    return transport::join_address("127.0.0.1", port_);
}

std::vector<std::string> scripted_endpoint::heads() {
    const std::lock_guard guard(mutex_);
    return heads_;
}

void scripted_endpoint::accept_all() {
    while (!stopping_) {
        if (!wait_readable(listener_, poll_ms)) {
            continue;
        }
        const int fd = accept(listener_, nullptr, nullptr);
        if (fd >= 0) {
            ++connections;
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }
}

void scripted_endpoint::serve(int fd) {
    std::string input;
    std::array<char, 4096> buf{};
    while (!stopping_) {
        const auto end = input.find("\r\n\r\n");
        if (end != std::string::npos && (replies_early || input.size() >= end + 4 + length_of(input))) {
            const auto head = input.substr(0, end + 4);
            input.erase(0, end + 4 + length_of(head));
            if (!reply_to(fd, head)) {
                break;
            }
            continue;
        }
        if (!wait_readable(fd, poll_ms)) {
            continue;
        }
        const auto n = recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            break;
        }
        input.append(buf.data(), static_cast<std::size_t>(n));
    }
    close(fd);
}

bool scripted_endpoint::reply_to(int fd, const std::string& head) {
    {
        const std::lock_guard guard(mutex_);
        heads_.push_back(head);
    }
    const auto reply = script_(head);
    for (int waited = 0; waited < reply.delay_ms && !stopping_; waited += poll_ms) {
        char byte = 0;
        if (wait_readable(fd, poll_ms) && recv(fd, &byte, 1, MSG_PEEK) <= 0) {
            ++closed_early;
            return false;
        }
    }
    auto bytes = reply.bytes;
    for (auto at = bytes.find("@ID@"); at != std::string::npos; at = bytes.find("@ID@")) {
        bytes.replace(at, 4, id_of(head));
    }
    bytes_sent += send_all(fd, bytes);
    while (!reply.endless.empty() && !stopping_) {
        const auto n = send_all(fd, reply.endless);
        bytes_sent += n;
        if (n < reply.endless.size()) {
            return false;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(reply.close_delay_ms));
    if (reply.reset) {
        close_with_reset(fd);
    }
    return !reply.close && !reply.reset;
}

std::string complete_response(const std::string& body, const std::string& status, const std::string& more) {
    return fmt::format("HTTP/1.1 {}\r\nx-id: @ID@\r\n{}Content-Length: {}\r\n\r\n{}", status, more,
                       body.size(), body);
}

std::vector<scripted_reply> endless_replies() {
    const std::string chunked = head_begin + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'a');
    const std::string line = "x-more: " + filler.substr(0, 1000) + "\r\n";
    return {endless("", filler),
            endless("HTTP/1.1 200 OK\r\nx-more: ", filler),
            endless(head_begin, line),
            endless(head_begin + "\r\n", filler),
            endless(head_begin + "Content-Length: 99999999999\r\n\r\n", filler),
            endless(chunked, "10000\r\n" + filler + "\r\n"),
            endless(chunked + "7fffffff\r\n", filler),
            endless(chunked + "0\r\n", line),
            endless("", "HTTP/1.1 100 Continue\r\n\r\n")};
}

std::vector<scripted_reply> endless_chunk_extensions() {
    const std::string chunked = head_begin + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(65536, 'a');
    return {endless(chunked + "1;x=", filler),
            endless(chunked, "1;x=" + filler.substr(0, 1000) + "\r\na\r\n")};
}

std::string send_parts_and_read(const std::string& address, std::span<const std::string> parts,
                                std::chrono::milliseconds pause, const std::string& until, int timeout_ms) {
    const auto where = transport::split_address(address);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(where->port));
    inet_pton(AF_INET, where->ip.c_str(), &target.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
    std::string input;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0) {
        for (std::size_t n = 0; n < parts.size(); ++n) {
            if (n > 0) {
                std::this_thread::sleep_for(pause);
            }
            send_all(fd, parts[n]);
        }
        std::array<char, 4096> buf{};
        while (input.find(until, input.size() < 8192 ? 0 : input.size() - 8192) == std::string::npos &&
               wait_readable(fd, timeout_ms)) {
            const auto n = recv(fd, buf.data(), buf.size(), 0);
            if (n <= 0) {
                break;
            }
            input.append(buf.data(), static_cast<std::size_t>(n));
        }
    }
    close(fd);
    return input;
}

std::string send_and_read(const std::string& address, const std::string& bytes, const std::string& until,
                          int timeout_ms) {
    return send_parts_and_read(address, std::array{bytes}, {}, until, timeout_ms);
}

} // namespace lycheegap::gateway
