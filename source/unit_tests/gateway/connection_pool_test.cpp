#include "core/gateway/connection_pool.h"

#include <thread>

#include <doctest/doctest.h>

#include "scripted_endpoint.h"
#include "test_host.h"

namespace lycheegap::gateway {

namespace {

using common::milliseconds;

std::string send_request(const test_host& host, const std::string& path, const std::string& id,
                         const std::string& method) {
    return send_and_read(host.address(), patient_request_text(path, id, method), "done");
}

std::size_t idle_connections(const test_host& host) {
    auto& table = host.running->state->connections;
    const std::lock_guard guard(table.mutex);
    std::size_t count = 0;
    for (const auto& [key, idle] : table.idle) {
        count += idle.size();
    }
    return count;
}

std::size_t known_closures(const test_host& host) {
    auto& table = host.running->state->connections;
    const std::lock_guard guard(table.mutex);
    std::size_t count = 0;
    for (const auto& [service, limit] : table.limits) {
        count += limit.closures.size();
    }
    return count;
}

} // namespace

TEST_CASE("a connection that is too old for a request that must not be repeated stays for others") {
    scripted_endpoint endpoint([](const auto&) { return scripted_reply{complete_response("done")}; });
    const test_host host;
    host.use(endpoint);
    send_request(host, "/patient/1", "q1", "GET");
    std::this_thread::sleep_for(milliseconds(300));
    // Nothing shows yet how long the service's endpoints keep idle connections.
    CHECK(send_request(host, "/order/1", "q2", "POST").starts_with("HTTP/1.1 200"));
    CHECK(endpoint.connections == 2);
    CHECK(idle_connections(host) == 2);
    CHECK(send_request(host, "/patient/2", "q3", "GET").starts_with("HTTP/1.1 200"));
    CHECK(endpoint.connections == 2);
}

TEST_CASE("a connection that its endpoint closed while it was idle is not used, and is learned from") {
    scripted_endpoint endpoint(
        [](const auto&) { return scripted_reply{.bytes = complete_response("done"), .close = true}; });
    const test_host host;
    host.use(endpoint);
    send_request(host, "/patient/1", "q1", "GET");
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(send_request(host, "/patient/2", "q2", "GET").starts_with("HTTP/1.1 200"));
    CHECK(endpoint.connections == 2);
    CHECK(known_closures(host) == 1);
}

} // namespace lycheegap::gateway
