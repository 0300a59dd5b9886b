#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/transport/http_client.h"
#include "failure_tests/child_process.h"
#include "soak_plan.h"

namespace lycheegap::soak {

using failure_tests::child_process;

/// A host process and its addresses.
struct soak_host {
    child_process process;
    std::string name;
    std::string ip;
    std::string settings_file;
    /// "ip:port" of the request listener and of the lookup listener.
    std::string request_address;
    std::string lookup_address;
};

/// An endpoint process and its addresses.
struct soak_endpoint {
    child_process process;
    std::string id;
    /// "ip:port" of its own listener, and of the relay listener through which hosts connect to it.
    std::string address;
    std::string link_address;
};

/// The store, the link relay, endpoints and hosts as separate processes on a loopback network that is
/// chosen at random for this fleet.
struct soak_fleet {
    soak_fleet() = default;
    soak_fleet(const soak_fleet&) = delete;
    soak_fleet& operator=(const soak_fleet&) = delete;
    soak_fleet(soak_fleet&&) = delete;
    soak_fleet& operator=(soak_fleet&&) = delete;
    /// Kills all child processes.
    ~soak_fleet();

    /// Folder with the settings and logs of all processes.
    std::string folder;
    /// First three numbers of the loopback addresses of this fleet, "127.a.b".
    std::string network;
    child_process store;
    std::string store_address;
    child_process links;
    /// "ip:port" of the control listener of the link relay.
    std::string link_control_address;
    std::vector<soak_endpoint> endpoints;
    /// Endpoint that responds to uploads without a length.
    soak_endpoint uploads;
    std::vector<soak_host> hosts;
    transport::connection_pool connections;
    /// Version of the configuration written last; 0 before the first.
    int configuration_version{0};
    std::size_t unused_routes{0};
};

/// Name and API key of team `n`, from 0.
std::string team_name(std::size_t n);
std::string team_key(std::size_t n);
/// Second API key of team 1, which the last configuration withdraws.
inline constexpr std::string_view withdrawn_key = "withdrawn-key";
inline constexpr std::size_t team_count = 3;
/// Rate limit (requests per second) and burst (requests) of team 0; the other teams have no limit.
inline constexpr double limited_rate_per_s = 40;
inline constexpr double limited_burst_requests = 10;

/// Starts all processes and waits until each host serves; on failure prints the reason and returns null.
std::unique_ptr<soak_fleet> start_soak_fleet(const soak_size& size);

/// Starts the process of host or endpoint `n`, also again after its end.
void start_host(soak_fleet& fleet, std::size_t n);
void start_endpoint(soak_fleet& fleet, std::size_t n);
/// Writes the next version of the configuration, with or without `withdrawn_key`; returns whether the store
/// accepted it.
bool write_configuration(soak_fleet& fleet, bool include_withdrawn_key);
/// Writes the last configuration again, as the operator does after the store has lost it.
void rewrite_configuration(soak_fleet& fleet);
/// Writes entries with odd names, as another writer may, into the list of endpoints.
void write_odd_entries(soak_fleet& fleet);
/// Writes a key to the store that hosts have no use for.
void write_note(soak_fleet& fleet);
/// Sends a query to the /control path of a stand-in.
void send_control(soak_fleet& fleet, const std::string& address, const std::string& query);
/// Bytes of the answers about the store that a host has sent to the others since its start; 0 if it does not
/// say.
std::uint64_t replicated_bytes(soak_fleet& fleet, const soak_host& host);
/// Whether a host answers a request with this API key with status 200.
bool serves(soak_fleet& fleet, const soak_host& host, std::string_view key);

} // namespace lycheegap::soak
