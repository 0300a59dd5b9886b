// Blocking sockets and raw HTTP/1.1 for the clients of the cases.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;

inline double seconds_since(clock::time_point start) {
    return std::chrono::duration<double>(clock::now() - start).count();
}

inline void sleep_s(double s) {
    std::this_thread::sleep_for(std::chrono::duration<double>(s));
}

struct address {
    std::string ip;
    int port{0};
};

/// Options of a client's connection.
struct socket_options {
    /// Receive buffer in bytes; 0 for the system's.
    int receive_buffer{0};
    /// Largest segment in bytes, as on an Ethernet link; 0 for the system's.
    int segment{0};
    double connect_timeout_s{1};
};

/// A connected socket, or -1.
inline int connect_to(const address& to, const socket_options& options = {}) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (options.receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer, sizeof options.receive_buffer);
    }
    if (options.segment > 0) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment, sizeof options.segment);
    }
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(to.port));
    inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        pollfd one{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&one, 1, static_cast<int>(options.connect_timeout_s * 1000)) <= 0 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close(fd);
            return -1;
        }
    }
    return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto n = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EAGAIN) {
            pollfd one{fd, POLLOUT, 0};
            poll(&one, 1, 1000);
            continue;
        }
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// Outcome of one read.
enum class read_end { data, closed, broken, timed_out };

/// Reads at most `most` bytes, waiting for the first of them.
inline read_end read_some(int fd, std::string& into, std::size_t most, double wait_s) {
    pollfd one{fd, POLLIN, 0};
    if (poll(&one, 1, static_cast<int>(wait_s * 1000)) <= 0) {
        return read_end::timed_out;
    }
    std::string buf(most, '\0');
    const auto n = recv(fd, buf.data(), most, 0);
    if (n > 0) {
        into.append(buf, 0, static_cast<std::size_t>(n));
        return read_end::data;
    }
    return n == 0 ? read_end::closed : read_end::broken;
}

/// The first complete answer with a length at the beginning of the bytes; 0 if there is none.
inline std::size_t answer_size(const std::string& bytes) {
    const auto end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
        return 0;
    }
    std::string head = bytes.substr(0, end);
    for (auto& c : head) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    const auto at = head.find("content-length:");
    const std::size_t length =
        at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 15, nullptr, 10);
    return bytes.size() >= end + 4 + length ? end + 4 + length : 0;
}

/// Sends one request and reads its answer; empty without a complete one.
inline std::string exchange(int fd, std::string_view request, double wait_s) {
    std::string got;
    const auto start = clock::now();
    if (!send_all(fd, request)) {
        return {};
    }
    while (answer_size(got) == 0) {
        const double left = wait_s - seconds_since(start);
        if (left <= 0 || read_some(fd, got, 65536, left) != read_end::data) {
            return {};
        }
    }
    return got;
}

inline std::string status_of(const std::string& answer) {
    return answer.size() > 12 ? answer.substr(9, 3) : "none";
}

/// One request on a connection of its own.
inline std::string call(const address& to, std::string_view request, double wait_s) {
    const int fd = connect_to(to);
    if (fd < 0) {
        return {};
    }
    auto answer = exchange(fd, request, wait_s);
    close(fd);
    return answer;
}

/// Writes a key as the operator or another writer does.
inline bool write_key(const address& store, const std::string& key, const std::string& value) {
    const auto request = "POST /operator?key=" + key +
                         " HTTP/1.1\r\nHost: store\r\nContent-Length: " + std::to_string(value.size()) +
                         "\r\nConnection: close\r\n\r\n" + value;
    return status_of(call(store, request, 3)) == "200";
}

inline bool is_ready(const std::string& ip) {
    return status_of(call({ip, 8384},
                          "GET /api/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1)) ==
           "200";
}

inline bool wait_until_ready(const std::string& ip, double limit_s) {
    const auto start = clock::now();
    while (seconds_since(start) < limit_s) {
        if (is_ready(ip)) {
            return true;
        }
        sleep_s(0.1);
    }
    return false;
}

/// Head of a request to the route of the case, with an empty line at its end.
inline std::string head(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms, const std::string& more = "") {
    return method + " " + path + " HTTP/1.1\r\nHost: surf.example\r\nLycheegap-Request-Id: " + id +
           "\r\nLycheegap-Request-Deadline: " + std::to_string(deadline_ms) +
           "\r\nAuthorization: Bearer surf-key\r\n" + more + "\r\n";
}

/// record.txt, written by several threads.
class record_file {
public:
    explicit record_file(const std::string& path) : out_(path), start_(clock::now()) {}

    void line(const std::string& text) {
        const std::lock_guard guard(mutex_);
        char at[32];
        std::snprintf(at, sizeof at, "%7.3f ", seconds_since(start_));
        out_ << at << text << '\n';
        out_.flush();
    }

private:
    std::ofstream out_;
    clock::time_point start_;
    std::mutex mutex_;
};

/// Ids of the requests that ran, from a worker's log.
inline std::vector<std::string> runs_in(const std::string& log) {
    std::vector<std::string> ids;
    std::ifstream in(log);
    std::string text;
    while (std::getline(in, text)) {
        const auto at = text.find("event=ran request=");
        if (at != std::string::npos) {
            const auto begin = at + 18;
            ids.push_back(text.substr(begin, text.find(' ', begin) - begin));
        }
    }
    return ids;
}

inline std::string configuration(const std::string& timeout_s, const std::string& more = "") {
    return R"({"version": 1, "resources": [
  {"resource_kind": "routes", "metadata": {"name": "forecast"}, "spec": {"host": "surf.example", "prefix": "/forecast/",
    "kind": "safe", "service": "forecast-desk", "timeout_s": )" +
           timeout_s + R"(, "target_latency_s": 0.4, "max_attempts": 2}},
  {"resource_kind": "routes", "metadata": {"name": "bookings"}, "spec": {"host": "surf.example", "prefix": "/bookings/",
    "kind": "unsafe", "service": "forecast-desk", "timeout_s": 3, "target_latency_s": 0.5, "max_attempts": 2}},)" +
           more + R"(
  {"resource_kind": "tenants", "metadata": {"name": "surf-school"}, "spec": {"api_keys": ["surf-key"]}}]})";
}

} // namespace review
