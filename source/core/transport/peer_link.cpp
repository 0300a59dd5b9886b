#include "peer_link.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <mutex>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "listen_socket.h"

namespace lycheegap::transport {

namespace {

using common::fail;
using common::field;
using common::step;

constexpr std::uint64_t listener_event_id = 1;
constexpr std::uint64_t wake_event_id = 2;
constexpr std::uint64_t first_session_id = 3;
constexpr int max_epoll_events = 64;
constexpr auto max_epoll_wait = common::milliseconds(1000);

struct pending_call {
    std::string address;
    peer_stream stream;
};

struct pending_answer {
    std::uint64_t session{0};
    std::int32_t stream{0};
    schema::bytes message;
};

} // namespace

struct peer_link::state {
    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;
    ~state();

    peer_link_options options;
    common::worker_pool* pool{nullptr};
    peer_handler handler;
    listen_socket listener;
    int epoll_fd{-1};
    int wake_fd{-1};
    std::thread thread;

    common::ranked_mutex mutex{common::lock_rank::peer_outbox};
    std::vector<pending_call> calls;
    std::vector<pending_answer> answers;
    bool stopping{false};

    // Accessed by the peer thread only, and by `stop` after it has joined that thread.
    std::map<std::uint64_t, std::unique_ptr<peer_session>> sessions;
    std::map<std::string, std::uint64_t, std::less<>> session_by_address;
    std::uint64_t next_id{first_session_id};
    common::time_point next_deadline{common::time_point::max()};
};

namespace {

using link_state = peer_link::state;

void wake(const link_state& link) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(link.wake_fd, &one, sizeof one);
}

void watch_fd(const link_state& link, int operation, int fd, std::uint64_t id, bool writable) {
    epoll_event event{};
    event.events = EPOLLIN | (writable ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.u64 = id;
    epoll_ctl(link.epoll_fd, operation, fd, &event);
}

void enable_no_delay(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

peer_session& add_session(link_state& link, int fd, bool is_server, const std::string& peer) {
    const auto id = link.next_id++;
    enable_no_delay(fd);
    auto session = make_session(id, fd, is_server, peer, link.options.secret);
    watch_fd(link, EPOLL_CTL_ADD, fd, id, true);
    return *link.sessions.emplace(id, std::move(session)).first->second;
}

void remove_session(link_state& link, std::uint64_t id, std::string_view reason) {
    const auto it = link.sessions.find(id);
    if (it == link.sessions.end()) {
        return;
    }
    const auto session = std::move(it->second);
    link.sessions.erase(it);
    const auto by_address = link.session_by_address.find(session->peer);
    if (by_address != link.session_by_address.end() && by_address->second == id) {
        link.session_by_address.erase(by_address);
    }
    close_session(*session, reason);
}

/// Binds an outgoing connection to this host's own address, by which peers identify it.
void bind_source(int fd, const std::string& address) {
    sockaddr_in source{};
    source.sin_family = AF_INET;
    inet_pton(AF_INET, address.c_str(), &source.sin_addr);
    const int on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    [[maybe_unused]] const int ec = bind(fd, reinterpret_cast<const sockaddr*>(&source), sizeof source);
}

peer_session* open_session(link_state& link, const std::string& address) {
    const auto target = split_address(address);
    if (!target) {
        return nullptr;
    }
    sockaddr_in peer_address{};
    peer_address.sin_family = AF_INET;
    peer_address.sin_port = htons(static_cast<std::uint16_t>(target->port));
    if (inet_pton(AF_INET, target->ip.c_str(), &peer_address.sin_addr) != 1) {
        fail(step::connect, address, "not an IPv4 address");
        return nullptr;
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    bind_source(fd, link.options.address);
    const auto result = connect(fd, reinterpret_cast<const sockaddr*>(&peer_address), sizeof peer_address);
    if (result != 0 && errno != EINPROGRESS) {
        fail(step::connect, address, std::strerror(errno));
        close(fd);
        return nullptr;
    }
    auto& session = add_session(link, fd, false, address);
    session.connecting = true;
    link.session_by_address[address] = session.id;
    return &session;
}

peer_session* find_or_connect(link_state& link, const std::string& address) {
    const auto existing = link.session_by_address.find(address);
    if (existing != link.session_by_address.end()) {
        return link.sessions.at(existing->second).get();
    }
    return open_session(link, address);
}

void start_call(link_state& link, pending_call call) {
    auto* session = find_or_connect(link, call.address);
    if (session == nullptr) {
        call.stream.reply(std::nullopt);
        return;
    }
    link.next_deadline = std::min(link.next_deadline, call.stream.deadline);
    begin_call(*session, std::move(call.stream));
}

void start_answer(link_state& link, pending_answer answer) {
    const auto it = link.sessions.find(answer.session);
    if (it != link.sessions.end()) {
        begin_answer(*it->second, answer.stream, std::move(answer.message));
    }
}

void queue_answer(link_state& link, pending_answer answer) {
    {
        const std::lock_guard guard(link.mutex);
        link.answers.push_back(std::move(answer));
    }
    wake(link);
}

/// Queues a call for the peer thread. Returns false and leaves `call` unchanged once the link is stopping.
bool try_queue_call(link_state& link, pending_call& call) {
    const std::lock_guard guard(link.mutex);
    if (link.stopping) {
        return false;
    }
    link.calls.push_back(std::move(call));
    return true;
}

/// Starts the calls and answers that other threads have queued. Returns false once the link is stopping.
bool process_outbox(link_state& link) {
    std::vector<pending_call> calls;
    std::vector<pending_answer> answers;
    {
        const std::lock_guard guard(link.mutex);
        if (link.stopping) {
            return false;
        }
        calls.swap(link.calls);
        answers.swap(link.answers);
    }
    for (auto& it : calls) {
        start_call(link, std::move(it));
    }
    for (auto& it : answers) {
        start_answer(link, std::move(it));
    }
    return true;
}

void accept_all(link_state& link) {
    while (true) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const int fd = accept4(link.listener.fd, reinterpret_cast<sockaddr*>(&from), &size,
                               SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
        add_session(link, fd, true, join_address(text.data(), ntohs(from.sin_port)));
    }
}

/// Handles one message on a worker. If that fails, its sender gets no answer.
void handle_request(link_state& link, std::string_view peer, schema::byte_view message,
                    const peer_responder& respond) {
    try {
        link.handler(message, respond);
    } catch (const std::exception& exception) {
        common::log_error("peer_message_failed", {field("peer", peer), field("reason", exception.what())});
    }
}

void dispatch_requests(link_state& link, peer_session& session) {
    auto requests = std::exchange(session.requests, {});
    for (auto& it : requests) {
        const auto respond = [&link, id = session.id, stream = it.stream](schema::bytes answer) {
            queue_answer(link, {id, stream, std::move(answer)});
        };
        link.pool->submit([&link, message = std::move(it.message), respond, peer = session.peer] {
            handle_request(link, peer, message, respond);
        });
    }
}

void finish_connect(peer_session& session) {
    int ec = 0;
    socklen_t size = sizeof ec;
    getsockopt(session.fd, SOL_SOCKET, SO_ERROR, &ec, &size);
    session.connecting = false;
    session.broken = ec != 0;
}

void handle_session_event(link_state& link, std::uint64_t id, std::uint32_t events) {
    const auto it = link.sessions.find(id);
    if (it == link.sessions.end()) {
        return;
    }
    auto& session = *it->second;
    if (session.connecting) {
        finish_connect(session);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && !session.broken) {
        read_session(session);
        dispatch_requests(link, session);
    }
}

/// Writes pending output of every session and removes the broken ones.
void flush_sessions(link_state& link) {
    std::vector<std::uint64_t> broken;
    for (auto& [id, session] : link.sessions) {
        if (!session->broken) {
            write_session(*session);
            // EPOLLOUT is enabled only while output is pending: an idle socket is almost always writable, and
            // epoll_wait would return immediately each time.
            if (session->epollout_enabled != wants_write(*session)) {
                session->epollout_enabled = !session->epollout_enabled;
                watch_fd(link, EPOLL_CTL_MOD, session->fd, id, session->epollout_enabled);
            }
        }
        if (session->broken) {
            broken.push_back(id);
        }
    }
    for (const auto id : broken) {
        remove_session(link, id, "the connection failed, was closed or timed out");
    }
}

void expire_overdue_calls(link_state& link, common::time_point now) {
    if (now < link.next_deadline) {
        return;
    }
    link.next_deadline = common::time_point::max();
    for (auto& [id, session] : link.sessions) {
        expire_calls(*session, now);
        for (const auto& [stream, it] : session->streams) {
            if (!session->is_server) {
                link.next_deadline = std::min(link.next_deadline, it.deadline);
            }
        }
    }
}

int epoll_timeout_ms(const link_state& link) {
    const auto now = common::monotonic::now();
    const auto wake_at = std::min(link.next_deadline, now + max_epoll_wait);
    // Rounded up: with the fraction cut off, epoll_wait would return early and the loop would spin.
    return std::max(0, static_cast<int>(common::milliseconds_between(now, wake_at)) + 1);
}

void handle_event(link_state& link, const epoll_event& event) {
    if (event.data.u64 == listener_event_id) {
        accept_all(link);
        return;
    }
    if (event.data.u64 == wake_event_id) {
        std::uint64_t n = 0;
        [[maybe_unused]] const auto size = read(link.wake_fd, &n, sizeof n);
        return;
    }
    handle_session_event(link, event.data.u64, event.events);
}

void run(link_state& link) {
    std::array<epoll_event, max_epoll_events> events{};
    while (process_outbox(link)) {
        expire_overdue_calls(link, common::monotonic::now());
        flush_sessions(link);
        const int n = epoll_wait(link.epoll_fd, events.data(), max_epoll_events, epoll_timeout_ms(link));
        for (int k = 0; k < n; ++k) {
            handle_event(link, events.at(static_cast<std::size_t>(k)));
        }
    }
    while (!link.sessions.empty()) {
        remove_session(link, link.sessions.begin()->first, "this host is stopping");
    }
}

} // namespace

peer_link::peer_link(std::unique_ptr<state> running) : state_(std::move(running)) {}

peer_link::peer_link(peer_link&& other) noexcept = default;

peer_link& peer_link::operator=(peer_link&& other) noexcept {
    if (this != &other) {
        stop();
        state_ = std::move(other.state_);
    }
    return *this;
}

peer_link::~peer_link() {
    stop();
}

peer_link::state::~state() {
    close(epoll_fd);
    close(wake_fd);
}

int peer_link::port() const {
    return state_->listener.port;
}

void peer_link::call(std::string address, schema::bytes message, common::time_point deadline,
                     peer_reply reply, common::time_point last_deadline) {
    pending_call call;
    call.address = std::move(address);
    call.stream.outgoing = std::move(message);
    call.stream.deadline = deadline;
    call.stream.last_deadline = last_deadline;
    call.stream.started_at = common::monotonic::now();
    call.stream.reply = std::move(reply);
    if (!try_queue_call(*state_, call)) {
        call.stream.reply(fail(step::send, call.address, "this host is stopping"));
        return;
    }
    wake(*state_);
}

std::optional<schema::bytes> peer_link::call_and_wait(std::string address, schema::bytes message,
                                                      common::time_point deadline) {
    struct call_completion {
        common::ranked_mutex mutex{common::lock_rank::leaf};
        std::condition_variable_any changed;
        bool done{false};
        std::optional<schema::bytes> answer;
        common::reason failure;
    };

    const auto result = std::make_shared<call_completion>();
    call(std::move(address), std::move(message), deadline, [result](std::optional<schema::bytes> answer) {
        const std::lock_guard guard(result->mutex);
        result->answer = std::move(answer);
        result->failure = common::last_reason();
        result->done = true;
        result->changed.notify_all();
    });
    std::unique_lock guard(result->mutex);
    result->changed.wait(guard, [&] { return result->done; });
    if (!result->answer) {
        return fail(result->failure.failed_step, result->failure.peer, result->failure.text);
    }
    return std::move(result->answer);
}

void peer_link::stop() {
    if (!state_ || !state_->thread.joinable()) {
        return;
    }
    {
        const std::lock_guard guard(state_->mutex);
        state_->stopping = true;
    }
    wake(*state_);
    state_->thread.join();
    close(state_->listener.fd);
    for (auto& it : std::exchange(state_->calls, {})) {
        it.stream.reply(fail(step::send, it.address, "this host is stopping"));
    }
}

std::optional<peer_link> start_peer_link(const peer_link_options& options, common::worker_pool& pool,
                                         peer_handler handler) {
    const auto listener = open_listener(options.address, options.port);
    if (!listener) {
        return std::nullopt;
    }
    auto link = std::make_unique<peer_link::state>();
    link->options = options;
    link->pool = &pool;
    link->handler = std::move(handler);
    link->listener = *listener;
    link->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    link->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    watch_fd(*link, EPOLL_CTL_ADD, link->listener.fd, listener_event_id, false);
    watch_fd(*link, EPOLL_CTL_ADD, link->wake_fd, wake_event_id, false);
    auto& running = *link;
    link->thread = std::thread([&running] { run(running); });
    return peer_link(std::move(link));
}

} // namespace lycheegap::transport
