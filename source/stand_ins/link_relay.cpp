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

constexpr std::size_t read_buffer_bytes = 64U << 10U;
constexpr std::size_t pending_limit_bytes = 16U << 20U;
constexpr int events_per_wait = 64;
constexpr int max_wait_ms = 1000;

/// Received bytes that are sent at `send_at`; the first `sent` bytes are sent already.
struct delayed_chunk {
    time_point send_at;
    std::vector<char> data;
    std::size_t sent{0};
};

/// One side of a relayed connection, with the bytes still to be sent to it.
struct link_side {
    int fd{-1};
    std::deque<delayed_chunk> pending;
    std::size_t pending_bytes{0};
    /// The peer on this side has closed its sending direction.
    bool read_closed{false};
    /// The end of the stream has been passed on to the peer on this side.
    bool write_closed{false};
};

/// A relayed connection; `sides[0]` is the accepted socket, `sides[1]` the one to the target.
struct connection {
    std::string route;
    /// IP address of the peer that connected.
    std::string source;
    /// Generation of the route when the connection was opened.
    std::uint64_t silence_generation{0};
    std::array<link_side, 2> sides;
    /// A socket failed, or both directions have ended.
    bool finished{false};
};

struct listener {
    link_route route;
    int fd{-1};
};

/// State of the relay thread.
struct relay {
    link_table* links{nullptr};
    int epoll_fd{-1};
    std::vector<listener> listeners;
    std::vector<std::unique_ptr<connection>> connections;
};

/// Edge-triggered: each wake-up serves all connections until their sockets would block.
void add_to_epoll(const relay& self, int fd) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.fd = fd;
    epoll_ctl(self.epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

/// What applies to one connection at the moment.
struct link_state {
    link_fault fault;
    bool silent{false};
};

/// The fault of the source address, else that of the route; and whether the connection is silenced.
link_state current_state(const relay& self, const connection& it) {
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
    state.silent = self.links->silence_generations[it.route] != it.silence_generation;
    return state;
}

/// Starts a non-blocking connect; returns the socket, or -1 on failure.
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
    it->sides[0].fd = fd;
    it->sides[1].fd = target;
    {
        const std::lock_guard guard(self.links->mutex);
        it->silence_generation = self.links->silence_generations[route.name];
    }
    for (const auto& side : it->sides) {
        set_no_delay(side.fd);
        add_to_epoll(self, side.fd);
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

/// Whether `errno` means that the operation can be tried again later; ENOTCONN and EINPROGRESS stand for a
/// connect that is still in progress.
bool is_retryable_error() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == ENOTCONN ||
           errno == EINPROGRESS;
}

/// Reads what has arrived on one side and queues it for the other, up to `pending_limit_bytes`.
void read_from_side(connection& it, std::size_t from, int delay_ms) {
    auto& source = it.sides.at(from);
    auto& sink = it.sides.at(1 - from);
    std::array<char, read_buffer_bytes> buf{};
    while (!source.read_closed && sink.pending_bytes < pending_limit_bytes) {
        const auto n = recv(source.fd, buf.data(), buf.size(), 0);
        if (n < 0 && is_retryable_error()) {
            return;
        }
        if (n < 0) {
            it.finished = true;
            return;
        }
        if (n == 0) {
            source.read_closed = true;
            return;
        }
        sink.pending.push_back({monotonic::now() + milliseconds(delay_ms), {buf.data(), buf.data() + n}, 0});
        sink.pending_bytes += static_cast<std::size_t>(n);
    }
}

/// Sends the queued bytes whose time has come; returns the time of the next ones, or the maximum when none
/// wait for their time.
time_point write_to_side(connection& it, std::size_t to) {
    auto& sink = it.sides.at(to);
    while (!sink.pending.empty()) {
        auto& first = sink.pending.front();
        if (first.send_at > monotonic::now()) {
            return first.send_at;
        }
        const auto n =
            send(sink.fd, first.data.data() + first.sent, first.data.size() - first.sent, MSG_NOSIGNAL);
        if (n < 0 && is_retryable_error()) {
            return time_point::max();
        }
        if (n < 0) {
            it.finished = true;
            return time_point::max();
        }
        first.sent += static_cast<std::size_t>(n);
        sink.pending_bytes -= static_cast<std::size_t>(n);
        if (first.sent == first.data.size()) {
            sink.pending.pop_front();
        }
    }
    if (it.sides.at(1 - to).read_closed && !sink.write_closed) {
        shutdown(sink.fd, SHUT_WR);
        sink.write_closed = true;
    }
    return time_point::max();
}

/// Relays both directions of a connection; returns the time of its next delayed bytes.
time_point relay_connection(const relay& self, connection& it) {
    const auto state = current_state(self, it);
    if (state.fault.cut || state.silent) {
        return time_point::max();
    }
    auto next = time_point::max();
    for (std::size_t n = 0; n < it.sides.size(); ++n) {
        read_from_side(it, n, state.fault.delay_ms);
        next = std::min(next, write_to_side(it, 1 - n));
    }
    it.finished = it.finished || (it.sides[0].write_closed && it.sides[1].write_closed);
    return next;
}

/// Relays all connections and closes the finished ones; returns the time of the next delayed bytes.
time_point relay_all(relay& self) {
    auto next = time_point::max();
    for (auto& it : self.connections) {
        next = std::min(next, relay_connection(self, *it));
    }
    const auto close_if_finished = [](const std::unique_ptr<connection>& it) {
        if (it->finished) {
            close(it->sides[0].fd);
            close(it->sides[1].fd);
        }
        return it->finished;
    };
    std::erase_if(self.connections, close_if_finished);
    return next;
}

bool open_listeners(relay& self, const std::vector<link_route>& routes) {
    for (const auto& it : routes) {
        const auto where = transport::split_address(it.listen_address);
        const auto opened = where ? transport::open_listener(where->ip, where->port) : std::nullopt;
        if (!opened) {
            return false;
        }
        self.listeners.push_back({it, opened->fd});
        add_to_epoll(self, opened->fd);
    }
    return true;
}

int epoll_timeout_ms(time_point next) {
    const auto now = monotonic::now();
    if (next <= now) {
        return 0;
    }
    if (next == time_point::max()) {
        return max_wait_ms;
    }
    return std::min<int>(max_wait_ms, static_cast<int>(common::milliseconds_between(now, next)) + 1);
}

bool is_stopping(const relay& self) {
    const std::lock_guard guard(self.links->mutex);
    return self.links->stopping;
}

void clear_wake_event(const relay& self) {
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
    add_to_epoll(self, links.wake_fd);
    if (!open_listeners(self, routes)) {
        return false;
    }
    on_ready();
    std::array<epoll_event, events_per_wait> events{};
    while (!is_stopping(self)) {
        const auto next = relay_all(self);
        epoll_wait(self.epoll_fd, events.data(), events_per_wait, epoll_timeout_ms(next));
        clear_wake_event(self);
        for (const auto& it : self.listeners) {
            accept_all(self, it);
        }
    }
    return true;
}

} // namespace lycheegap::stand_ins
