#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lycheegap::gateway {

/// What a scripted endpoint does with one request.
struct scripted_reply {
    /// Bytes to send; "@ID@" stands for the request's id.
    std::string bytes;
    bool close{false};
    /// Closes with a reset.
    bool reset{false};
    /// Time before the reply; ends early when the other side closes.
    int delay_ms{0};
};

/// A listener that answers each request as a function of its head says, for tests of what hosts do with it.
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

    std::atomic<int> connections{0};
    /// Requests whose sender closed before the reply.
    std::atomic<int> left_early{0};

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

/// A whole answer with the request's id.
std::string whole_answer(const std::string& body, const std::string& status = "200 OK",
                         const std::string& more = "");

/// Sends bytes to an address and reads until `expected` answers' ends have come, the other side closes, or a
/// time-out.
std::string talk(const std::string& address, const std::string& bytes, const std::string& until,
                 int timeout_ms = 5000);

} // namespace lycheegap::gateway
