// Small stand-ins for the platform's store, workers and clients, for the scripts in review/. POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

inline const steady::time_point start_time = steady::now();

inline double elapsed() {
    return std::chrono::duration<double>(steady::now() - start_time).count();
}

inline void sleep_s(double seconds) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void sleep_until(double at) {
    if (at > elapsed()) {
        sleep_s(at - elapsed());
    }
}

/// The record of a run: one line for each event, with the seconds since the start.
class record {
public:
    static void open(const std::string& path) {
        file() = std::fopen(path.c_str(), "w");
    }

    static void line(const char* format, ...) __attribute__((format(printf, 1, 2))) {
        static std::mutex mutex;
        const std::lock_guard guard(mutex);
        if (file() == nullptr) {
            return;
        }
        std::fprintf(file(), "%8.3f ", elapsed());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file(), format, arguments);
        va_end(arguments);
        std::fputc('\n', file());
        std::fflush(file());
    }

private:
    static FILE*& file() {
        static FILE* it = nullptr;
        return it;
    }
};

// ---- HTTP ----

struct message {
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    std::string word(int n) const {
        std::size_t at = 0;
        for (; n > 0 && at != std::string::npos; --n) {
            at = start_line.find(' ', at);
            at = at == std::string::npos ? at : at + 1;
        }
        return at == std::string::npos ? "" : start_line.substr(at, start_line.find(' ', at) - at);
    }

    int status() const {
        return std::atoi(word(1).c_str());
    }

    std::string method() const {
        return word(0);
    }

    std::string path() const {
        const auto target = word(1);
        return target.substr(0, target.find('?'));
    }

    std::string query(const std::string& name) const {
        const auto target = word(1);
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }
};

/// A connected socket with a read buffer.
class connection {
public:
    explicit connection(int fd) : fd_(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    ~connection() {
        close(fd_);
    }

    int fd() const {
        return fd_;
    }

    /// Why the last read ended early: 0 for an orderly end, -1 for the time limit, else errno.
    int end_reason{0};

    bool send_all(const std::string& text) {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads one message; empty when the connection ends or the time is over.
    std::optional<message> read_message(double timeout_s, bool is_response = false) {
        const double due = elapsed() + timeout_s;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!read_more(due)) {
                return std::nullopt;
            }
        }
        message it;
        std::size_t at = buffer_.find("\r\n");
        it.start_line = buffer_.substr(0, at);
        while (at < end) {
            const auto next = buffer_.find("\r\n", at + 2);
            const auto line = buffer_.substr(at + 2, next - at - 2);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(" \t"));
                it.headers.emplace_back(line.substr(0, colon), value);
            }
            at = next;
        }
        buffer_.erase(0, end + 4);
        const auto length = it.header("Content-Length");
        if (!length.empty()) {
            const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
            while (buffer_.size() < size) {
                if (!read_more(due)) {
                    return std::nullopt;
                }
            }
            it.body = buffer_.substr(0, size);
            buffer_.erase(0, size);
        } else if (is_response && it.status() != 204) {
            while (read_more(due)) {
            }
            it.body = std::exchange(buffer_, "");
        }
        return it;
    }

    /// Waits until the other side closes or sends something, at most for `timeout_s`; true if it closed.
    bool wait_closed(double timeout_s) {
        const double due = elapsed() + timeout_s;
        while (elapsed() < due) {
            pollfd it{fd_, POLLIN | POLLRDHUP, 0};
            poll(&it, 1, 20);
            if ((it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
                return true;
            }
        }
        return false;
    }

private:
    bool read_more(double due) {
        pollfd it{fd_, POLLIN, 0};
        const auto left = static_cast<int>((due - elapsed()) * 1000);
        if (left <= 0 || poll(&it, 1, left) <= 0) {
            end_reason = -1;
            return false;
        }
        char text[16384];
        const auto n = recv(fd_, text, sizeof text, 0);
        if (n <= 0) {
            end_reason = n == 0 ? 0 : errno;
            return false;
        }
        buffer_.append(text, static_cast<std::size_t>(n));
        return true;
    }

    int fd_;
    std::string buffer_;
};

inline sockaddr_in to_address(const std::string& address) {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    const auto colon = address.find(':');
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &it.sin_addr);
    it.sin_port = htons(static_cast<uint16_t>(std::atoi(address.substr(colon + 1).c_str())));
    return it;
}

/// Connects within a second, as clients of the platform do; null on failure. `window`: bytes of the receive
/// buffer, 0 for the system's choice.
inline std::unique_ptr<connection> connect_to(const std::string& address, const std::string& from = "",
                                              int window = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (window > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    if (!from.empty()) {
        const auto own = to_address(from + ":0");
        [[maybe_unused]] const int bound = bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own);
    }
    const auto target = to_address(address);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    int ec = connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 ? 0 : errno;
    if (ec == EINPROGRESS) {
        pollfd it{fd, POLLOUT, 0};
        socklen_t size = sizeof ec;
        ec = poll(&it, 1, 1000) == 1 ? 0 : ETIMEDOUT;
        if (ec == 0) {
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &ec, &size);
        }
    }
    fcntl(fd, F_SETFL, 0);
    if (ec != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_unique<connection>(fd);
}

inline std::string response_text(int status, const std::string& body, const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections; `serve` handles one request and returns whether the connection goes on.
class server {
public:
    using handler = std::function<bool(connection&, const message&)>;

    bool open(const std::string& address, handler serve) {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto own = to_address(address);
        if (bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 || listen(fd_, 512) != 0) {
            return false;
        }
        std::thread([this, serve = std::move(serve)] {
            while (true) {
                const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    continue;
                }
                std::thread([fd, serve] {
                    connection it(fd);
                    while (const auto request = it.read_message(120)) {
                        if (!serve(it, *request)) {
                            break;
                        }
                    }
                }).detach();
            }
        }).detach();
        return true;
    }

private:
    int fd_{-1};
};

inline std::string peer_ip(const connection& it) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    getpeername(it.fd(), reinterpret_cast<sockaddr*>(&from), &size);
    char text[INET_ADDRSTRLEN]{};
    inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
    return text;
}

inline std::string local_ip(const connection& it) {
    sockaddr_in own{};
    socklen_t size = sizeof own;
    getsockname(it.fd(), reinterpret_cast<sockaddr*>(&own), &size);
    char text[INET_ADDRSTRLEN]{};
    inet_ntop(AF_INET, &own.sin_addr, text, sizeof text);
    return text;
}

// ---- the platform's store ----

inline std::string to_base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += n + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

/// Value of a field in a flat JSON text as nlohmann's library writes it, without quotes.
inline std::string json_field(const std::string& text, const std::string& name) {
    auto at = text.find("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    at += name.size() + 3;
    while (text[at] == ' ') {
        ++at;
    }
    if (text[at] == '"') {
        return text.substr(at + 1, text.find('"', at + 1) - at - 1);
    }
    return text.substr(at, text.find_first_of(",}]", at) - at);
}

/// The platform's store: keys with revisions, watches and leases, as PROTOCOL.md describes them.
class store {
public:
    /// Asked for each write call (a transaction or a new lease): the time in seconds after which the write is
    /// done without an answer, or nothing for an ordinary one.
    std::function<std::optional<double>(const std::string& caller, const message&)> loses_write;
    /// A watch that has waited for so long without an event is cut: its connection is closed in order.
    double cuts_watches_after{1e9};

    /// Whether a call that arrives at this address of the store is turned away with 503.
    std::function<bool(const std::string& own_ip)> turns_away;

    /// Opens an address of the store; there may be several.
    bool open(const std::string& address) {
        servers_.emplace_back();
        return servers_.back().open(address,
                                    [this](connection& it, const message& call) { return serve(it, call); });
    }

    /// A write of the operator or of a worker; `value` is the plain text.
    void put(const std::string& key, const std::string& value) {
        const std::lock_guard guard(mutex_);
        write(key, to_base64(value), 0, false);
    }

    void erase(const std::string& key) {
        const std::lock_guard guard(mutex_);
        write(key, "", 0, true);
    }

    /// Keys with the prefix.
    std::vector<std::string> keys(const std::string& prefix) {
        const std::lock_guard guard(mutex_);
        expire();
        std::vector<std::string> found;
        for (const auto& [key, it] : items_) {
            if (key.rfind(prefix, 0) == 0) {
                found.push_back(key);
            }
        }
        return found;
    }

private:
    struct item {
        std::string key;
        std::string value;
        long revision{0};
        long created{0};
        long lease{0};
        bool removed{false};
    };

    struct lease {
        double ttl{0};
        double ends{0};
    };

    static std::string to_json(const item& it) {
        if (it.removed) {
            return "{\"key\":\"" + it.key + "\",\"revision\":" + std::to_string(it.revision) +
                   ",\"tombstone\":true}";
        }
        return "{\"key\":\"" + it.key + "\",\"value\":\"" + it.value +
               "\",\"revision\":" + std::to_string(it.revision) +
               ",\"create_rev\":" + std::to_string(it.created) + ",\"lease\":" + std::to_string(it.lease) +
               "}";
    }

    void write(const std::string& key, const std::string& value, long lease, bool removed) {
        const auto known = items_.find(key);
        if (removed && known == items_.end()) {
            return;
        }
        item next{key, value, ++revision_, 0, lease, removed};
        next.created = known == items_.end() ? revision_ : known->second.created;
        history_.push_back(next);
        if (removed) {
            items_.erase(known);
        } else {
            items_[key] = next;
        }
        if (key.rfind("servers/", 0) != 0) {
            record::line("store: revision %ld %s %s lease %ld", revision_, removed ? "removes" : "writes",
                         key.c_str(), lease);
        }
        changed_.notify_all();
    }

    void end_lease(long id) {
        std::vector<std::string> held;
        for (const auto& [key, it] : items_) {
            if (it.lease == id) {
                held.push_back(key);
            }
        }
        leases_.erase(id);
        for (const auto& key : held) {
            write(key, "", 0, true);
        }
    }

    void expire() {
        std::vector<long> ended;
        for (const auto& [id, it] : leases_) {
            if (it.ends <= elapsed()) {
                ended.push_back(id);
            }
        }
        for (const auto id : ended) {
            record::line("store: lease %ld ends", id);
            end_lease(id);
        }
    }

    std::string range(const message& call) {
        std::string found;
        const auto prefix = call.query("prefix");
        const auto after = call.query("after");
        for (const auto& [key, it] : items_) {
            if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after)) {
                found += (found.empty() ? "" : ",") + to_json(it);
            }
        }
        return response_text(200, "{\"items\":[" + found +
                                      "],\"has_more\":false,\"at_rev\":" + std::to_string(revision_) + "}");
    }

    std::string watch(std::unique_lock<std::mutex>& guard, const message& call) {
        const auto prefix = call.query("prefix");
        const long after = std::atol(call.query("after").c_str());
        const double due = elapsed() + std::atof(call.query("wait_ms").c_str()) / 1000;
        const double cut = elapsed() + cuts_watches_after;
        while (true) {
            expire();
            std::string found;
            for (const auto& it : history_) {
                if (it.revision > after && it.key.rfind(prefix, 0) == 0) {
                    found += (found.empty() ? "" : ",") + to_json(it);
                }
            }
            if (!found.empty() || elapsed() >= due) {
                return response_text(200, "{\"events\":[" + found +
                                              "],\"at_rev\":" + std::to_string(revision_) + "}");
            }
            if (elapsed() >= cut) {
                return {};
            }
            changed_.wait_for(guard, std::chrono::milliseconds(10));
        }
    }

    std::string transact(const message& call) {
        // The hosts write one key at a time, without conditions or deletions.
        const auto writes = call.body.substr(call.body.find("\"writes\""));
        const auto key = json_field(writes, "key");
        const long lease_id = std::atol(json_field(writes, "lease").c_str());
        expire();
        if (lease_id != 0 && leases_.count(lease_id) == 0) {
            return response_text(404, "{}");
        }
        write(key, json_field(writes, "value"), lease_id, false);
        return response_text(200, "{\"revision\":" + std::to_string(revision_) + "}");
    }

    std::string grant(const message& call) {
        const double ttl = std::atof(json_field(call.body, "ttl_s_time").c_str());
        const long id = next_lease_++;
        leases_[id] = {ttl, elapsed() + ttl};
        return response_text(200, "{\"lease\":" + std::to_string(id) +
                                      ",\"ttl_s_time\":" + std::to_string(ttl) + "}");
    }

    std::string renew(long id) {
        expire();
        const auto found = leases_.find(id);
        if (found == leases_.end()) {
            return response_text(404, "{}");
        }
        found->second.ends = elapsed() + found->second.ttl;
        return response_text(200, "{\"ttl_s_time\":" + std::to_string(found->second.ttl) + "}");
    }

    std::string run(std::unique_lock<std::mutex>& guard, const message& call) {
        const auto path = call.path();
        if (path == "/api/kv-range") {
            expire();
            return range(call);
        }
        if (path == "/api/kv-watch") {
            return watch(guard, call);
        }
        if (path == "/api/kv-txn") {
            return transact(call);
        }
        if (path == "/api/kv-lease") {
            return grant(call);
        }
        if (path.rfind("/api/kv-keep/", 0) == 0) {
            return renew(std::atol(path.c_str() + 13));
        }
        if (path.rfind("/api/kv-lease-end/", 0) == 0) {
            end_lease(std::atol(path.c_str() + 18));
            return response_text(200, "{}");
        }
        return response_text(404, "{}");
    }

    bool serve(connection& it, const message& call) {
        const auto caller = peer_ip(it);
        if (turns_away && turns_away(local_ip(it))) {
            return it.send_all(response_text(503, "{}"));
        }
        const bool is_write = call.path() == "/api/kv-txn" || call.path() == "/api/kv-lease";
        const auto late = is_write && loses_write ? loses_write(caller, call) : std::nullopt;
        if (late) {
            record::line("store: %s of %s gets no answer, done %.1f s later", call.path().c_str(),
                         caller.c_str(), *late);
            std::thread([this, call, caller, late] {
                sleep_s(*late);
                std::unique_lock guard(mutex_);
                const auto done = run(guard, call);
                record::line("store: the unanswered %s of %s is done: %s", call.path().c_str(),
                             caller.c_str(), done.substr(9, 3).c_str());
            }).detach();
            it.wait_closed(60);
            return false;
        }
        std::string answer;
        {
            std::unique_lock guard(mutex_);
            answer = run(guard, call);
        }
        if (is_write) {
            record::line("store: %s of %s answered %s %s", call.path().c_str(), caller.c_str(),
                         answer.substr(9, 3).c_str(), answer.substr(answer.find("\r\n\r\n") + 4).c_str());
        }
        return !answer.empty() && it.send_all(answer);
    }

    std::deque<server> servers_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<item> history_;
    std::map<long, lease> leases_;
    long revision_{100};
    long next_lease_{1};
};

// ---- workers ----

struct worker_options {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int capacity{16};
    double work_s{0.05};
};

/// The entry of a worker in the store.
inline std::string worker_entry(const worker_options& it, long sequence, const char* state = "ready") {
    return "{\"address\":\"" + it.address + "\",\"born\":1700000000000,\"info\":{\"service\":\"" +
           it.service + "\",\"version\":\"v1\",\"zone\":\"" + it.zone +
           "\",\"capacity\":" + std::to_string(it.capacity) + "},\"status\":{\"state\":\"" + state +
           "\",\"sequence\":" + std::to_string(sequence) + ",\"cold_remaining_s\":0.0}}";
}

/// Headers that every answer of a worker to a request has.
inline std::string answer_headers(const message& request) {
    const auto id = request.header("Lycheegap-Request-Id");
    return "Lycheegap-Request-Id: " + id + "\r\nLycheegap-Response-Seal: seal-" + id + "\r\n";
}

/// Registers a worker and serves its requests: all of them with success after its work, unless `behave` says
/// otherwise (it returns whether it has handled the request; `go_on` is whether the connection stays open).
class worker {
public:
    std::function<bool(connection&, const message&, bool& go_on)> behave;

    bool open(store& entries, const worker_options& chosen) {
        options_ = chosen;
        const bool opened = server_.open(
            chosen.address, [this](connection& it, const message& request) { return serve(it, request); });
        std::thread([this, &entries] {
            for (long n = 1;; ++n) {
                {
                    const std::lock_guard guard(mutex_);
                    if (left_) {
                        return;
                    }
                    entries.put("servers/" + options_.id, worker_entry(options_, n));
                }
                sleep_s(1.5);
            }
        }).detach();
        return opened;
    }

    /// Removes the entry of the worker, which serves on. Returns when the store has accepted it.
    void leave(store& entries) {
        const std::lock_guard guard(mutex_);
        left_ = true;
        entries.erase("servers/" + options_.id);
    }

private:
    bool serve(connection& it, const message& request) {
        bool go_on = true;
        if (behave && behave(it, request, go_on)) {
            return go_on;
        }
        record::line("worker %s runs %s tenant %s", options_.id.c_str(),
                     request.header("Lycheegap-Request-Id").c_str(),
                     request.header("Lycheegap-Tenant").c_str());
        sleep_s(options_.work_s);
        return it.send_all(response_text(200, "answer to " + request.header("Lycheegap-Request-Id"),
                                         answer_headers(request) + "Lycheegap-Server-Load: 1,0," +
                                             std::to_string(options_.capacity) + "\r\n"));
    }

    worker_options options_;
    server server_;
    std::mutex mutex_;
    bool left_{false};
};

// ---- processes of the system ----

/// A process of the system, started with the command of the deploy file. Its output goes to `log`.
class process {
public:
    process(std::string program, std::string settings, std::string log)
        : program_(std::move(program)), settings_(std::move(settings)), log_(std::move(log)) {}

    void start() {
        id_ = fork();
        if (id_ == 0) {
            const int fd = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl(program_.c_str(), program_.c_str(), "--settings", settings_.c_str(), nullptr);
            _exit(127);
        }
        record::line("process %d started: %s", id_, settings_.substr(settings_.rfind('/') + 1).c_str());
    }

    void signal(int number) const {
        record::line("signal %d to process %d", number, id_);
        kill(id_, number);
    }

    /// Waits for the end of the process, at most for `timeout_s`; its wait status, or nothing.
    std::optional<int> wait(double timeout_s) {
        const double due = elapsed() + timeout_s;
        int status = 0;
        while (elapsed() < due) {
            if (waitpid(id_, &status, WNOHANG) == id_) {
                id_ = -1;
                record::line("process ended with wait status %d", status);
                return status;
            }
            sleep_s(0.02);
        }
        return std::nullopt;
    }

    /// Ends the process if it runs.
    void end() {
        if (id_ > 0) {
            kill(id_, SIGKILL);
            waitpid(id_, nullptr, 0);
            id_ = -1;
        }
    }

    int id() const {
        return id_;
    }

    bool runs() const {
        return id_ > 0 && kill(id_, 0) == 0;
    }

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    int id_{-1};
};

} // namespace review
