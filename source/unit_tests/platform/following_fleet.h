#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/gateway/fleet_link.h"
#include "core/gateway/gateway.h"
#include "core/transport/http_server.h"
#include "platform/follow_store.h"
#include "platform/host_lease.h"
#include "stand_ins/platform_store.h"

namespace lycheegap::platform {

/// Listener of the store for one host. Can refuse this host's calls while the store serves the others.
struct store_listener {
    /// Every call gets 503.
    std::atomic<bool> refusing{false};
    std::unique_ptr<transport::http_server> server;
    std::string address;
};

/// A host that follows the store and registers in it; no caller sends it requests.
struct in_process_host {
    std::string name;
    store_listener listener;
    std::unique_ptr<gateway::running_gateway> running;
    std::unique_ptr<gateway::fleet_link> fleet;
    std::shared_ptr<store_follower> follower;
    std::shared_ptr<host_registration> registration;
    store_client registration_client;

    [[nodiscard]] gateway::gateway_state& state() const {
        return *running->state;
    }
};

/// Several hosts in one process, and the stand-in for the store that they follow.
class in_process_fleet {
public:
    explicit in_process_fleet(std::size_t count);
    in_process_fleet(const in_process_fleet&) = delete;
    in_process_fleet& operator=(const in_process_fleet&) = delete;
    in_process_fleet(in_process_fleet&&) = delete;
    in_process_fleet& operator=(in_process_fleet&&) = delete;
    ~in_process_fleet();

    /// Starts one more host and returns it.
    in_process_host& add_host();
    /// Stops a host. A graceful stop revokes its lease; otherwise the lease runs out, as after a crash.
    void stop_host(std::string_view name, bool graceful);
    /// Names of the current relays as the first host determines them.
    std::vector<std::string> relay_names();

    stand_ins::platform_store store;
    std::vector<std::unique_ptr<in_process_host>> hosts;

private:
    int started_count_{0};
};

/// JSON of a configuration with one route and one team that has the API key `key`.
std::string configuration_text(int version, std::string_view key = "k1");
/// JSON of an endpoint's entry in zone "north".
std::string endpoint_text(std::string_view state = "ready", int born = 1, int heartbeats = 1);

/// Version of the configuration in force on the host; 0 without one.
std::int64_t configuration_version(const in_process_host& host);
bool knows_endpoint(const in_process_host& host, std::string_view id);
bool is_leaving(const in_process_host& host, std::string_view id);
/// Number of hosts that the host knows, itself included.
std::size_t member_count(const in_process_host& host);

/// Waits at most `limit_ms` for `condition` and returns whether it became true.
bool holds_within(int limit_ms, const std::function<bool()>& condition);
/// Waits at most `limit_ms` for `condition` to hold on all hosts at once and returns whether it did.
bool all_hosts_within(const in_process_fleet& fleet, int limit_ms,
                      const std::function<bool(const in_process_host&)>& condition);

} // namespace lycheegap::platform
