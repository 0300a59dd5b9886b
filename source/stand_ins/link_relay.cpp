#include "link_table.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <memory>
#include <mutex>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/common/last_reason.h"
#include "core/transport/listen_socket.h"

namespace lycheegap::stand_ins {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

constexpr std::size_t read_size_bytes = 64U << 10U;
constexpr std::size_t held_limit_bytes = 16U << 20U;
constexpr int event_batch = 64;
constexpr int longest_wait_ms = 1000;

/// Bytes on their way; they leave at `due`.
struct chunk {
    time_point due;
    std::vector<char> data;
    std::size_t sent{0};
};

/// One side of a relayed connection and the bytes that are to be written to it.
struct link_end {
    int fd{-1};
    std::deque<chunk> held;
    std::size_t held_bytes{0};
    bool read_closed{false};
    bool write_closed{false};
};

struct connection {
    std::string route;
    std::string source;
    std::uint64_t silence_mark{0};
    std::array<link_end, 2> ends;
    bool broken{false};
};

struct listener {
    link_route route;
    int fd{-1};
};

struct relay {
    link_table* links{nullptr};
    int epoll_fd{-1};
    std::vector<listener> listeners;
    std::vector<std::unique_ptr<connection>> connections;
};

void watch(const relay& self, int fd) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.fd = fd;
    epoll_ctl(self.epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

struct link_state {
    link_fault fault;
    bool silent{false};
};

link_state state_of(const relay& self, const connection& it) {
    const std::lock_guard guard(self.links->mutex);
    const auto& by_source = self.links->faults[it.route];
    const auto exact = by_source.find(it.source);
    const auto any = by_source.find("");
    link_state state;
    if (exact != by_source.end()) {
        state.fault = exact->second;
    } else if (any != by_source.end()) {
        state.fault = any->second;
    }
    state.silent = self.links->silenced[it.route] != it.silence_mark;
    return state;
}

int connect_to(const std::string& target) {
    const auto address = transport::split_address(target);
    if (!address) {
        return -1;
    }
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(address->port));
    inet_pton(AF_INET, address->ip.c_str(), &where.sin_addr);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

void set_no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void add_connection(relay& self, const link_route& route, int fd, const sockaddr_in& from) {
    const int target = connect_to(route.target);
    if (target < 0) {
        close(fd);
        return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    auto it = std::make_unique<connection>();
    it->route = route.name;
    it->source = text.data();
    it->ends[0].fd = fd;
    it->ends[1].fd = target;
    {
        const std::lock_guard guard(self.links->mutex);
        it->silence_mark = self.links->silenced[route.name];
    }
    for (const auto& end : it->ends) {
        set_no_delay(end.fd);
        watch(self, end.fd);
    }
    self.connections.push_back(std::move(it));
}

void accept_all(relay& self, const listener& from) {
    while (true) {
        sockaddr_in source{};
        socklen_t size = sizeof source;
        const int fd =
            accept4(from.fd, reinterpret_cast<sockaddr*>(&source), &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        add_connection(self, from.route, fd, source);
    }
}

bool would_block() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN ||
           errno == EINPROGRESS;
}

void read_end(connection& it, std::size_t from, int delay_ms) {
    auto& source = it.ends.at(from);
    auto& sink = it.ends.at(1 - from);
    std::array<char, read_size_bytes> buf{};
    while (!source.read_closed && sink.held_bytes < held_limit_bytes) {
        const auto n = recv(source.fd, buf.data(), buf.size(), 0);
        if (n < 0 && would_block()) {
            return;
        }
        if (n < 0) {
            it.broken = true;
            return;
        }
        if (n == 0) {
            source.read_closed = true;
            return;
        }
        sink.held.push_back({monotonic::now() + milliseconds(delay_ms), {buf.data(), buf.data() + n}, 0});
        sink.held_bytes += static_cast<std::size_t>(n);
    }
}

/// Writes what is due; returns the due time of what is left, or the far future.
time_point write_end(connection& it, std::size_t to) {
    auto& sink = it.ends.at(to);
    while (!sink.held.empty()) {
        auto& first = sink.held.front();
        if (first.due > monotonic::now()) {
            return first.due;
        }
        const auto n =
            send(sink.fd, first.data.data() + first.sent, first.data.size() - first.sent, MSG_NOSIGNAL);
        if (n < 0 && would_block()) {
            return time_point::max();
        }
        if (n < 0) {
            it.broken = true;
            return time_point::max();
        }
        first.sent += static_cast<std::size_t>(n);
        sink.held_bytes -= static_cast<std::size_t>(n);
        if (first.sent == first.data.size()) {
            sink.held.pop_front();
        }
    }
    if (it.ends.at(1 - to).read_closed && !sink.write_closed) {
        shutdown(sink.fd, SHUT_WR);
        sink.write_closed = true;
    }
    return time_point::max();
}

time_point pass(const relay& self, connection& it) {
    const auto state = state_of(self, it);
    if (state.fault.cut || state.silent) {
        return time_point::max();
    }
    auto next = time_point::max();
    for (std::size_t n = 0; n < it.ends.size(); ++n) {
        read_end(it, n, state.fault.delay_ms);
        next = std::min(next, write_end(it, 1 - n));
    }
    it.broken = it.broken || (it.ends[0].write_closed && it.ends[1].write_closed);
    return next;
}

time_point pass_all(relay& self) {
    auto next = time_point::max();
    for (auto& it : self.connections) {
        next = std::min(next, pass(self, *it));
    }
    const auto drop = [](const std::unique_ptr<connection>& it) {
        if (it->broken) {
            close(it->ends[0].fd);
            close(it->ends[1].fd);
        }
        return it->broken;
    };
    std::erase_if(self.connections, drop);
    return next;
}

bool open_all(relay& self, const std::vector<link_route>& routes) {
    for (const auto& it : routes) {
        const auto where = transport::split_address(it.listen_address);
        const auto opened = where ? transport::open_listener(where->ip, where->port) : std::nullopt;
        if (!opened) {
            return false;
        }
        self.listeners.push_back({it, opened->fd});
        watch(self, opened->fd);
    }
    return true;
}

int wait_ms(time_point next) {
    const auto now = monotonic::now();
    if (next <= now) {
        return 0;
    }
    if (next == time_point::max()) {
        return longest_wait_ms;
    }
    return std::min<int>(longest_wait_ms, static_cast<int>(common::milliseconds_between(now, next)) + 1);
}

bool is_stopping(const relay& self) {
    const std::lock_guard guard(self.links->mutex);
    return self.links->stopping;
}

void drain_wake(const relay& self) {
    std::uint64_t n = 0;
    [[maybe_unused]] const auto size = read(self.links->wake_fd, &n, sizeof n);
}

} // namespace

bool run_relay(link_table& links, const std::vector<link_route>& routes,
               const std::function<void()>& on_ready) {
    relay self;
    self.links = &links;
    self.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    links.wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    watch(self, links.wake_fd);
    if (!open_all(self, routes)) {
        return false;
    }
    on_ready();
    std::array<epoll_event, event_batch> events{};
    while (!is_stopping(self)) {
        const auto next = pass_all(self);
        epoll_wait(self.epoll_fd, events.data(), event_batch, wait_ms(next));
        drain_wake(self);
        for (const auto& it : self.listeners) {
            accept_all(self, it);
        }
    }
    return true;
}

} // namespace lycheegap::stand_ins
