#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/common/digest.h"
#include "crowd.h"
#include "fleet.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr milliseconds start_timeout{20'000};
constexpr milliseconds answer_timeout{60'000};
constexpr std::size_t status_line_bytes = std::string_view("HTTP/1.1 200 OK").size();

// Limits of the host under test.
constexpr std::size_t bytes_per_megabyte = 1'000'000;
constexpr std::size_t descriptor_limit = 512;
constexpr std::size_t max_head_bytes = 64U << 10U;
constexpr std::size_t max_body_bytes = 8U << 20U;

struct machine_limits {
    std::size_t memory_mb{64};
    std::size_t max_body_bytes{8U << 20U};
};

std::string configuration(const machine_limits& limits) {
    return fmt::format(
        R"({{"version":1,"resources":[)"
        R"({{"resource_kind":"routes","metadata":{{"name":"work"}},"spec":{{"host":"limits.example","prefix":"/",)"
        R"("kind":"safe","service":"desk","timeout_s":20,"target_latency_s":5,"max_attempts":2}}}},)"
        R"({{"resource_kind":"limits","metadata":{{}},"spec":{{"max_header_bytes":{},"max_body_bytes":{},)"
        R"("header_timeout_s":3,"idle_timeout_s":15}}}}]}})",
        max_head_bytes, limits.max_body_bytes);
}

/// One host with lowered limits, the store and one endpoint.
struct limited_host {
    explicit limited_host(const machine_limits& chosen = {}) : limits(chosen) {}

    limited_host(const limited_host&) = delete;
    limited_host& operator=(const limited_host&) = delete;
    limited_host(limited_host&&) = delete;
    limited_host& operator=(limited_host&&) = delete;

    ~limited_host() {
        kill_child(host);
        kill_child(endpoint);
        kill_child(store);
    }

    machine_limits limits;
    std::string folder{make_temporary_folder()};
    std::string network{pick_address_prefix()};
    child_process store;
    child_process endpoint;
    child_process host;
    std::string address;
    transport::connection_pool connections;
};

int send_request(limited_host& it, const std::string& address, std::string_view path, std::string_view query,
                 std::string_view body) {
    transport::http_call call;
    call.address = address;
    call.head.method = body.empty() ? "GET" : "POST";
    call.head.path = path;
    call.head.query = query;
    call.head.headers = {{"Host", "limits.example"},
                         {"Lycheegap-Request-Id", fmt::format("{:016x}", common::random_bits())}};
    call.body = transport::as_bytes(body);
    call.deadline = monotonic::now() + start_timeout;
    const auto result = transport::call_http(it.connections, call);
    return result.response ? result.response->status : 0;
}

bool is_answered(limited_host& it) {
    return send_request(it, it.address, "/ordinary", "", "") == 200;
}

std::string host_settings(const limited_host& it, const std::string& store_address) {
    const auto ip = it.network + ".11";
    return fmt::format("[host]\nname = host-1\naddress = {0}\nregion = coast\nfailure_domain = zone-1\n"
                       "[listeners]\nrequests = {1}\nreadiness = {0}:7002\npeer_port = 7005\n"
                       "[fleet]\ndomains = zone-1:coast\nstore = {2}\n"
                       "[machine]\nmemory = {3}\ndescriptors = {4}\n[process]\nlog_level = info\n",
                       ip, it.address, store_address, it.limits.memory_mb, descriptor_limit);
}

/// Starts the processes and waits until the host serves.
bool start(limited_host& it) {
    it.store =
        start_child("platform_store_stand_in", std::vector<std::string>{"--address", it.network + ".1"},
                    it.folder + "/store.log");
    const auto store_address = wait_for_field(it.store, "ready", "address", monotonic::now() + start_timeout);
    const std::vector<std::string> endpoint_arguments = {
        "--id",   "endpoint-1", "--service", "desk",        "--address",  it.network + ".2:7300",
        "--zone", "zone-1",     "--store",   store_address, "--capacity", "64"};
    it.endpoint = start_child("platform_endpoint_stand_in", endpoint_arguments, it.folder + "/endpoint.log");
    it.address = it.network + ".11:7001";
    const auto settings_file = it.folder + "/host.ini";
    std::ofstream(settings_file) << host_settings(it, store_address);
    it.host = start_child("lycheegap_platformd", std::vector<std::string>{"--settings", settings_file},
                          it.folder + "/host.log");
    return send_request(it, store_address, "/operator", "key=op/config", configuration(it.limits)) == 200 &&
           wait_until(start_timeout, [&] { return is_answered(it); });
}

std::string request_head(std::string_view method, std::string_view path, std::string_view more) {
    return fmt::format("{} {} HTTP/1.1\r\nHost: limits.example\r\nLycheegap-Request-Id: {:016x}\r\n{}\r\n",
                       method, path, common::random_bits(), more);
}

std::string head_with_length(std::size_t length) {
    return request_head("POST", "/body", fmt::format("Content-Length: {}\r\n", length));
}

void expect_memory_kept(const limited_host& it) {
    const auto peak = peak_resident_bytes(it.host.pid);
    MESSAGE("peak of resident memory: " << peak << " bytes");
    CHECK(peak > 0);
    CHECK(peak <= it.limits.memory_mb * bytes_per_megabyte);
}

struct crowd_result {
    std::size_t most_descriptors{0};
    /// An ordinary request was answered while the connections of the crowd were open.
    bool answered{false};
};

/// Plays a crowd whose connections stay open, then sends an ordinary request.
crowd_result play_crowd(limited_host& it, std::size_t clients,
                        const std::function<void(client_socket&)>& act) {
    crowd_result result;
    const auto count_descriptors = [&] {
        result.most_descriptors = std::max(result.most_descriptors, open_descriptors(it.host.pid));
    };
    crowd clients_of_host;
    std::atomic<std::size_t> done{0};
    start_crowd(clients_of_host, clients, it.address, [&](client_socket& one) {
        act(one);
        ++done;
    });
    wait_until(answer_timeout, [&] {
        count_descriptors();
        return done == clients;
    });
    wait_for_crowd(clients_of_host);
    count_descriptors();
    result.answered = wait_until(answer_timeout, [&] { return is_answered(it); });
    return result;
}

/// Plays a crowd, and checks the limits and a clean stop of the host.
void expect_limits_kept(std::size_t clients, const std::function<void(client_socket&)>& act) {
    limited_host it;
    REQUIRE(start(it));
    const auto result = play_crowd(it, clients, act);
    CHECK(result.answered);
    MESSAGE("most open descriptors: " << result.most_descriptors);
    CHECK(result.most_descriptors <= descriptor_limit);
    expect_memory_kept(it);
    CHECK(stop_child(it.host) == 0);
}

std::string chunked_text(std::size_t length) {
    return fmt::format("{:x}\r\n{}\r\n", length, std::string(length, 'x'));
}

/// Sends a body with a length; returns the status line of the response.
std::string send_with_length(const limited_host& it, std::size_t bytes) {
    client_socket client;
    const bool taken = connect_client(client, it.address) && send_bytes(client, head_with_length(bytes)) &&
                       send_filler(client, bytes);
    return taken ? read_bytes(client, status_line_bytes) : "not taken";
}

/// Sends a body in chunks; returns the status line of the response.
std::string send_in_chunks(const limited_host& it, std::size_t bytes) {
    constexpr std::size_t chunk_bytes = 64U << 10U;
    client_socket client;
    bool taken = connect_client(client, it.address) &&
                 send_bytes(client, request_head("POST", "/body", "Transfer-Encoding: chunked\r\n"));
    const auto chunk = chunked_text(chunk_bytes);
    for (std::size_t sent = 0; taken && sent < bytes; sent += chunk_bytes) {
        taken = send_bytes(client, chunk);
    }
    taken = taken && send_bytes(client, "0\r\n\r\n");
    return taken ? read_bytes(client, status_line_bytes) : "not taken";
}

/// Sends one large body, with a length and then in chunks, and expects the answers.
void expect_single_body_served(const machine_limits& limits, std::size_t chunked_bytes) {
    limited_host it(limits);
    REQUIRE(start(it));
    CHECK(send_with_length(it, limits.max_body_bytes) == "HTTP/1.1 200 OK");
    CHECK(send_in_chunks(it, chunked_bytes) == "HTTP/1.1 200 OK");
    expect_memory_kept(it);
    CHECK(stop_child(it.host) == 0);
}

} // namespace

TEST_SUITE_BEGIN("memory_limits");

TEST_CASE("trailers without end behind chunked bodies stay within the memory") {
    const std::string trailer = "x-filler: " + std::string(1000, 't') + "\r\n";
    expect_limits_kept(16, [&](const client_socket& it) {
        bool taken = send_bytes(it, request_head("POST", "/trailers", "Transfer-Encoding: chunked\r\n")) &&
                     send_bytes(it, "4\r\nbody\r\n0\r\n");
        for (std::size_t sent = 0; taken && sent < max_body_bytes; sent += trailer.size()) {
            taken = send_bytes(it, trailer);
        }
    });
}

TEST_CASE("many large bodies with a length stay within the memory") {
    expect_limits_kept(16, [&](const client_socket& it) {
        if (send_bytes(it, head_with_length(max_body_bytes)) && send_filler(it, max_body_bytes)) {
            read_bytes(it, 1);
        }
    });
}

TEST_CASE("large chunked bodies that stop short of their end stay within the memory") {
    constexpr std::size_t chunk_bytes = 256U << 10U;
    expect_limits_kept(16, [&](const client_socket& it) {
        bool taken = send_bytes(it, request_head("POST", "/body", "Transfer-Encoding: chunked\r\n"));
        for (std::size_t sent = 0; taken && sent + chunk_bytes < max_body_bytes; sent += chunk_bytes) {
            taken = send_bytes(it, fmt::format("{:x}\r\n", chunk_bytes)) && send_filler(it, chunk_bytes) &&
                    send_bytes(it, "\r\n");
        }
    });
}

TEST_CASE("bodies with a length that stop short of their end stay within the memory") {
    expect_limits_kept(16, [&](const client_socket& it) {
        if (send_bytes(it, head_with_length(max_body_bytes))) {
            send_filler(it, max_body_bytes - (64U << 10U));
        }
    });
}

TEST_CASE("unfinished heads stay within the memory and the descriptors") {
    constexpr std::size_t head_bytes = max_head_bytes - (4U << 10U);
    expect_limits_kept(800, [&](const client_socket& it) {
        if (send_bytes(it, "GET /head HTTP/1.1\r\nHost: limits.example\r\nx-filler: ") &&
            send_filler(it, head_bytes)) {
            read_bytes(it, 1);
        }
    });
}

TEST_CASE("long answers to slow readers stay within the memory") {
    // One after the other, so that each answer is read from the endpoint in full.
    std::mutex turn;
    expect_limits_kept(16, [&](const client_socket& it) {
        const std::lock_guard guard(turn);
        limit_receive_buffer(it);
        const auto path = fmt::format("/answer?answer_bytes={}", max_body_bytes);
        if (send_bytes(it, request_head("GET", path, ""))) {
            read_bytes(it, 16U << 10U);
        }
    });
}

TEST_CASE("uploads at the same time stay within the memory") {
    constexpr std::size_t piece_bytes = 128U << 10U;
    expect_limits_kept(5, [&](const client_socket& it) {
        bool taken = send_bytes(it, head_with_length(max_body_bytes));
        for (std::size_t sent = 0; taken && sent < max_body_bytes; sent += piece_bytes) {
            taken = send_filler(it, piece_bytes);
        }
        if (taken) {
            read_bytes(it, 1);
        }
    });
}

TEST_CASE("a single body of the longest legal size is served within the memory") {
    SUBCASE("on a host of 64 MB") {
        expect_single_body_served({}, max_body_bytes);
    }
    SUBCASE("on a host of 112 MB, with 64 MiB") {
        constexpr std::size_t body_bytes = 64U << 20U;
        expect_single_body_served({.memory_mb = 112, .max_body_bytes = body_bytes}, body_bytes);
    }
}

TEST_SUITE_END();

} // namespace lycheegap::failure_tests
