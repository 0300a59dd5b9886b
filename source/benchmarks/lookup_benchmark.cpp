// Compares the CPU time of a look-up with that of an empty response from the same HTTP server in the same
// run, and counts the requests that stay unanswered at ten times the rate that one host must serve.
#include <algorithm>
#include <array>
#include <atomic>
#include <ctime>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/common/clock.h"
#include "core/host/host_state.h"
#include "core/host/serve_lookup.h"

namespace {

namespace host = lycheegap::host;
namespace membership = lycheegap::membership;
namespace steering = lycheegap::steering;
namespace transport = lycheegap::transport;
using lycheegap::common::milliseconds;
using lycheegap::common::monotonic;

constexpr int server_workers = 4;
constexpr int client_count = 4;
constexpr int round_count = 15;
constexpr int requests_per_round = 4000;
constexpr int target_requests_per_s = 816;
constexpr int burst_factor = 10;
constexpr int member_count = 24;
constexpr int block_count = 1'000'000;
constexpr int site_count = 220;
constexpr double max_cpu_ratio = 1.10;

double clock_s(clockid_t clock) {
    timespec now{};
    clock_gettime(clock, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

void fill_members(host::host_state& state) {
    membership::generation current;
    for (int n = 0; n < member_count; ++n) {
        membership::member it;
        it.name = fmt::format("host-{}", n);
        it.region = fmt::format("region-{}", n % 3);
        it.failure_domain = fmt::format("{}-{}", it.region, n / 3 % 2);
        it.request_address = fmt::format("10.0.0.{}:7002", n + 1);
        current = membership::with_member(current, it);
    }
    state.membership.current = std::make_shared<const membership::generation>(std::move(current));
}

void fill_blocks(host::host_state& state) {
    std::mt19937_64 random(1);
    host::client_blocks all;
    for (int n = 0; n < site_count; ++n) {
        all.sites.push_back(
            {fmt::format("site-{}", n), fmt::format("region-{}", n % 3), fmt::format("region-{}-0", n % 3)});
    }
    std::vector<steering::client_block> list;
    list.reserve(block_count + 1);
    for (int n = 0; n < block_count; ++n) {
        list.push_back({static_cast<std::uint32_t>(random()), static_cast<std::uint8_t>(16 + random() % 9),
                        static_cast<steering::site_number>(random() % site_count)});
    }
    // 127.0.0.0/8, the block of the benchmark's clients.
    list.push_back({0x7f000000, 8, 1});
    all.map = steering::make_block_map(list);
    state.lookups.blocks = std::make_shared<const host::client_blocks>(std::move(all));
}

std::optional<transport::http_server> start_server(transport::http_handler handler) {
    transport::http_server_options options;
    options.address = "127.0.0.1";
    options.workers = server_workers;
    return transport::start_http_server(options, std::move(handler));
}

int connect_to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Sends one look-up on an open connection; true when a complete response with status 200 arrives.
bool request_lookup(int fd) {
    constexpr std::string_view request =
        "GET /v1/lookup?team=kite&region=region-1 HTTP/1.1\r\nhost: a\r\n\r\n";
    if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
        return false;
    }
    std::array<char, 4096> buf{};
    std::string text;
    while (true) {
        const auto n = recv(fd, buf.data(), buf.size(), 0);
        if (n <= 0) {
            return false;
        }
        text.append(buf.data(), static_cast<std::size_t>(n));
        const auto head = text.find("\r\n\r\n");
        const auto length = text.find("Content-Length: ");
        if (head != std::string::npos && length != std::string::npos) {
            const auto body = std::strtoul(text.c_str() + length + 16, nullptr, 10);
            if (text.size() >= head + 4 + body) {
                return text.starts_with("HTTP/1.1 200");
            }
        }
    }
}

struct client_result {
    double cpu_s{0};
    int answered{0};
    double max_latency_ms{0};
};

/// Sends `n` look-ups on one connection, at the given interval or, when that is zero, back to back.
client_result run_client(int port, int n, std::chrono::nanoseconds interval) {
    client_result result;
    const int fd = connect_to(port);
    const auto started_at = monotonic::now();
    for (int it = 0; it < n; ++it) {
        const auto due = started_at + it * interval;
        std::this_thread::sleep_until(due);
        result.answered += request_lookup(fd) ? 1 : 0;
        const auto latency_ms = std::chrono::duration<double, std::milli>(monotonic::now() - due).count();
        result.max_latency_ms = std::max(result.max_latency_ms, latency_ms);
    }
    close(fd);
    result.cpu_s = clock_s(CLOCK_THREAD_CPUTIME_ID);
    return result;
}

std::vector<client_result> run_clients(int port, int count, int n, std::chrono::nanoseconds interval) {
    std::vector<client_result> results(static_cast<std::size_t>(count));
    std::vector<std::thread> threads;
    threads.reserve(results.size());
    for (auto& it : results) {
        threads.emplace_back([&it, port, n, interval] { it = run_client(port, n, interval); });
    }
    for (auto& it : threads) {
        it.join();
    }
    return results;
}

/// CPU time of the server per request, in µs: that of the process minus that of the client threads.
double server_cpu_us(int port) {
    const auto start_s = clock_s(CLOCK_PROCESS_CPUTIME_ID);
    const auto results =
        run_clients(port, client_count, requests_per_round / client_count, std::chrono::nanoseconds(0));
    auto used_s = clock_s(CLOCK_PROCESS_CPUTIME_ID) - start_s;
    for (const auto& it : results) {
        used_s -= it.cpu_s;
    }
    return used_s * 1e6 / requests_per_round;
}

double median(std::vector<double> values) {
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

/// CPU time of the look-up handler alone, without the HTTP library, in µs.
double handler_cpu_us(host::host_state& state) {
    constexpr int calls = 100'000;
    transport::http_request request;
    request.head.path = "/v1/lookup";
    request.head.query = "team=kite&region=region-1";
    request.peer = "127.0.0.1";
    const auto start_s = clock_s(CLOCK_THREAD_CPUTIME_ID);
    std::size_t bytes = 0;
    for (int n = 0; n < calls; ++n) {
        bytes += serve_lookup(state, request).body.size();
    }
    const auto used_s = clock_s(CLOCK_THREAD_CPUTIME_ID) - start_s;
    fmt::print("body_bytes={}\n", bytes / calls);
    return used_s * 1e6 / calls;
}

/// Sends for one second at `burst_factor` times the target rate, over enough connections to keep that rate;
/// true when every request is answered.
bool answers_burst(int port) {
    constexpr int connections = 48;
    constexpr int per_connection = target_requests_per_s * burst_factor / connections;
    const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / per_connection;
    const auto started_at = monotonic::now();
    const auto results = run_clients(port, connections, per_connection, interval);
    const auto elapsed_s = std::chrono::duration<double>(monotonic::now() - started_at).count();
    int answered = 0;
    double max_latency_ms = 0;
    for (const auto& it : results) {
        answered += it.answered;
        max_latency_ms = std::max(max_latency_ms, it.max_latency_ms);
    }
    fmt::print("burst: asked={} answered={} seconds={:.3f} worst_ms={:.1f}\n", per_connection * connections,
               answered, elapsed_s, max_latency_ms);
    return answered == per_connection * connections;
}

} // namespace

int main() {
    host::host_state state;
    state.outcomes.memories[0] = lycheegap::execution::make_outcome_memory(0, monotonic::now(), {});
    fill_members(state);
    fill_blocks(state);
    const auto empty =
        start_server([](const transport::http_request&) { return transport::http_response{}; });
    const auto lookup =
        start_server([&](const transport::http_request& it) { return serve_lookup(state, it); });
    if (!empty || !lookup) {
        return EXIT_FAILURE;
    }
    std::vector<double> empty_us;
    std::vector<double> lookup_us;
    std::vector<double> ratios;
    // Warm-up; the results are not used.
    server_cpu_us(empty->port());
    server_cpu_us(lookup->port());
    for (int n = 0; n < round_count; ++n) {
        empty_us.push_back(server_cpu_us(empty->port()));
        lookup_us.push_back(server_cpu_us(lookup->port()));
        ratios.push_back(lookup_us.back() / empty_us.back());
    }
    const auto ratio = median(ratios);
    fmt::print("empty_us={:.2f} lookup_us={:.2f} ratio={:.3f} bound={:.2f}\n", median(empty_us),
               median(lookup_us), ratio, max_cpu_ratio);
    fmt::print("handler_us={:.2f}\n", handler_cpu_us(state));
    const bool all_answered = answers_burst(lookup->port());
    return all_answered && ratio <= max_cpu_ratio ? EXIT_SUCCESS : EXIT_FAILURE;
}
