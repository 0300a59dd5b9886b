#include "host_state.h"

#include <mutex>

#include "core/common/digest.h"
#include "core/common/log.h"
#include "core/transport/listen_socket.h"
#include "endpoint_probes.h"
#include "forward.h"
#include "generation_upkeep.h"
#include "handover_home.h"
#include "leave.h"
#include "operator_api.h"
#include "peer_api.h"
#include "serve_lookup.h"
#include "serve_request.h"
#include "upkeep.h"

namespace lycheegap::host {

namespace {

using transport::http_request;
using transport::http_server_options;

constexpr auto handover_timeout = common::milliseconds(1000);

std::uint64_t seed_of(const settings::daemon_settings& settings) {
    return settings.process->seed != 0 ? settings.process->seed : common::random_bits();
}

void initialize(host_state& host) {
    const auto& settings = host.settings;
    host.self.name = settings.host->name;
    host.self.region = settings.host->region;
    host.self.failure_domain = settings.host->failure_domain;
    host.self.incarnation = common::random_bits();
    host.endpoints.random.seed(seed_of(settings));
    host.endpoint_connections.source_address = settings.host->address;
    host.store_connections.source_address = settings.host->address;
    host.store.address = settings.store->address;
    host.store.call_timeout = common::milliseconds(settings.store->call_timeout);
    host.store.connections = &host.store_connections;
    host.store.metrics = &host.metrics;
    host.queues.random.seed(seed_of(settings));
    open_outcomes(host);
}

http_server_options listener_options(const host_state& host, int port, int workers) {
    http_server_options options;
    options.address = host.settings.host->address;
    options.port = port;
    options.workers = workers;
    options.connection_limit = host.settings.callers->connection_limit;
    options.body_limit = static_cast<std::size_t>(host.settings.callers->body_limit);
    return options;
}

bool start_peers(host_state& host) {
    const auto& peers = *host.settings.peers;
    host.workers.emplace(host.settings.process->workers);
    host.forward_workers.emplace(host.settings.outcomes->forward_workers);
    host.peers = transport::start_peer_link(
        {host.settings.host->address, peers.port, peers.secret}, *host.workers,
        [&host](schema::byte_view message, const transport::peer_responder& respond) {
            if (!handle_forwarded(host, message, respond)) {
                respond(serve_peer(host, message));
            }
        });
    return host.peers.has_value();
}

/// Makes callers ask another host: a look-up answer given now could outlive this host.
transport::http_response refuse_lookup() {
    constexpr int status_unavailable = 503;
    return transport::json_response(status_unavailable, R"({"reason":"leaving"})");
}

bool start_servers(host_state& host) {
    const auto& callers = *host.settings.callers;
    const auto lookup_options = listener_options(host, callers.lookup_port, callers.lookup_workers);
    host.lookup_server = transport::start_http_server(lookup_options, [&host](const http_request& request) {
        return host.leaving ? refuse_lookup() : serve_lookup(host, request);
    });
    if (!host.lookup_server) {
        return false;
    }
    const auto request_options = listener_options(host, callers.request_port, callers.request_workers);
    host.request_server = transport::start_http_server(
        request_options, [&host](const http_request& request) { return serve_request(host, request); });
    if (!host.request_server) {
        return false;
    }
    const auto operator_options = listener_options(host, host.settings.operators->port, 0);
    host.operator_server = transport::start_http_server(
        operator_options, [&host](const http_request& request) { return serve_operator(host, request); });
    return host.operator_server.has_value();
}

void set_own_addresses(host_state& host) {
    const auto& ip = host.settings.host->address;
    const int advertised = host.settings.peers->advertised_port;
    host.self.peer_address = transport::join_address(ip, advertised != 0 ? advertised : host.peers->port());
    host.self.lookup_address = transport::join_address(ip, host.lookup_server->port());
    host.self.request_address = transport::join_address(ip, host.request_server->port());
    host.self.operator_address = transport::join_address(ip, host.operator_server->port());
}

} // namespace

std::shared_ptr<const catalog::configuration> current_catalog(host_state& host) {
    const std::lock_guard guard(host.catalog.mutex);
    return host.catalog.current;
}

std::shared_ptr<const membership::generation> current_generation(host_state& host) {
    const std::lock_guard guard(host.membership.mutex);
    return host.membership.current;
}

bool has_authority(host_state& host, common::time_point now) {
    const std::lock_guard guard(host.authority.mutex);
    const auto& table = host.authority;
    return table.knows_withdrawn && !table.given_up && membership::is_lease_valid(table.held, now);
}

std::unique_ptr<host_state> start_host(settings::daemon_settings settings) {
    auto host = std::make_unique<host_state>();
    host->settings = std::move(settings);
    initialize(*host);
    if (!start_peers(*host) || !start_servers(*host)) {
        return nullptr;
    }
    set_own_addresses(*host);
    start_periodic_tasks(*host);
    start_steering(*host);
    common::log_info("ready", {common::field("host", host->self.name),
                               common::field("incarnation", host->self.incarnation),
                               common::field("lookup", host->self.lookup_address),
                               common::field("request", host->self.request_address),
                               common::field("operator", host->self.operator_address),
                               common::field("peer", host->self.peer_address)});
    return host;
}

void stop_host(host_state& host) {
    drain_host(host);
    host.lookup_server->stop();
    host.request_server->stop();
    leave_generation(host);
    hand_over_homes(host, common::monotonic::now() + handover_timeout);
    host.operator_server->stop();
    host.peers->stop();
    host.workers->stop();
    host.forward_workers->stop();
    common::log_info("stopped", {common::field("host", host.self.name)});
}

} // namespace lycheegap::host
