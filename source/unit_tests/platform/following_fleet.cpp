#include "following_fleet.h"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "core/traffic/directory.h"
#include "failure_tests/fleet.h"
#include "platform/decode.h"
#include "platform/names.h"

namespace lycheegap::platform {

namespace {

using common::milliseconds;

constexpr double lease_ttl_s = 1.5;
// Time for a host to notice the stop and revoke its lease.
constexpr auto lease_revocation_wait = milliseconds(1500);

gateway::gateway_options options_of(const std::string& name) {
    gateway::gateway_options made;
    made.host = name;
    made.region = "coast";
    made.domain = "north";
    made.request_address = "127.0.0.1:0";
    made.headers = platform_headers();
    made.stop_time = milliseconds(200);
    return made;
}

void start_store_listener(stand_ins::platform_store& store, store_listener& listener) {
    transport::http_server_options options;
    options.address = "127.0.0.1";
    auto server = transport::start_http_server(options, [&](const auto& request) {
        return listener.refusing ? transport::http_response{503, {}, {}}
                                 : stand_ins::serve_platform_store(store, request);
    });
    listener.address = fmt::format("127.0.0.1:{}", server->port());
    listener.server = std::make_unique<transport::http_server>(std::move(*server));
}

} // namespace

in_process_fleet::in_process_fleet(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
        add_host();
    }
}

in_process_fleet::~in_process_fleet() {
    while (!hosts.empty()) {
        stop_host(hosts.back()->name, false);
    }
}

in_process_host& in_process_fleet::add_host() {
    auto made = std::make_unique<in_process_host>();
    made->name = fmt::format("host-{}", ++started_count_);
    start_store_listener(store, made->listener);
    made->running = gateway::start_gateway(options_of(made->name));
    auto& state = *made->running->state;
    made->fleet = gateway::open_fleet_link(state, "127.0.0.1", 0, "secret");
    state.mirror.mirror.is_heartbeat = &is_heartbeat;
    state.mirror.mirror.is_outdated = &is_outdated;
    made->follower = std::make_shared<store_follower>();
    made->follower->state = &state;
    made->follower->fleet = made->fleet.get();
    made->follower->client = {.io = &state.io, .address = made->listener.address, .connection = {}};
    made->follower->regions = {{"north", "coast"}};
    made->follower->max_staleness = milliseconds(1100);
    made->registration_client = {.io = &state.io, .address = made->listener.address, .connection = {}};
    made->registration = std::make_shared<host_registration>();
    made->registration->member.name = made->name;
    made->registration->member.region = "coast";
    made->registration->member.domain = "north";
    made->registration->member.request_address = state.options.request_address;
    made->registration->member.peer_address = made->fleet->address;
    made->registration->ttl_s = lease_ttl_s;
    start_following(made->follower);
    gateway::net::co_spawn(state.io, keep_registered(state, made->registration_client, made->registration),
                           gateway::net::detached);
    hosts.push_back(std::move(made));
    return *hosts.back();
}

void in_process_fleet::stop_host(std::string_view name, bool graceful) {
    const auto found =
        std::find_if(hosts.begin(), hosts.end(), [&](const auto& it) { return it->name == name; });
    auto stopped = std::move(*found);
    hosts.erase(found);
    if (graceful) {
        stopped->registration->stopping = true;
        std::this_thread::sleep_for(lease_revocation_wait);
    } else {
        stopped->listener.refusing = true;
    }
    gateway::stop_gateway(*stopped->running);
    stopped->fleet->pool->stop();
    stopped->fleet->peers->stop();
    // Destroying the listener joins its workers, so calls that wait at the store must be closed first.
    stopped->follower->client.connection.reset();
    stopped->registration_client.connection.reset();
}

std::vector<std::string> in_process_fleet::relay_names() {
    return traffic::relay_hosts(gateway::current_fleet(hosts.front()->state())->members);
}

std::string configuration_text(int version, std::string_view key) {
    return fmt::format(
        R"({{"version":{},"resources":[{{"resource_kind":"tenants","metadata":{{"name":"t1"}},)"
        R"("spec":{{"api_keys":["{}"]}}}},{{"resource_kind":"routes","metadata":{{"name":"r1"}},)"
        R"("spec":{{"host":"a.example","prefix":"/","kind":"safe","service":"desk"}}}}]}})",
        version, key);
}

std::string endpoint_text(std::string_view state, int born, int heartbeats) {
    return fmt::format(
        R"({{"address":"127.0.0.1:1","born":{},"info":{{"service":"desk","zone":"north","capacity":6}},)"
        R"("status":{{"state":"{}","sequence":{},"cold_remaining_s":0}}}})",
        born, state, heartbeats);
}

std::int64_t configuration_version(const in_process_host& host) {
    const auto config = gateway::current_configuration(host.state());
    return config ? config->version : 0;
}

bool knows_endpoint(const in_process_host& host, std::string_view id) {
    auto& state = host.state();
    const std::lock_guard guard(state.endpoints.mutex);
    return state.endpoints.set.by_id.contains(id);
}

bool is_leaving(const in_process_host& host, std::string_view id) {
    auto& state = host.state();
    const std::lock_guard guard(state.endpoints.mutex);
    const auto found = state.endpoints.set.by_id.find(id);
    return found != state.endpoints.set.by_id.end() && found->second->entry.leaving;
}

std::size_t member_count(const in_process_host& host) {
    return gateway::current_fleet(host.state())->members.size();
}

bool holds_within(int limit_ms, const std::function<bool()>& condition) {
    return failure_tests::wait_until(milliseconds(limit_ms), condition);
}

bool all_hosts_within(const in_process_fleet& fleet, int limit_ms,
                      const std::function<bool(const in_process_host&)>& condition) {
    return holds_within(limit_ms, [&] {
        return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                           [&](const auto& it) { return condition(*it); });
    });
}

} // namespace lycheegap::platform
