#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "child_process.h"
#include "core/transport/http_client.h"

namespace lycheegap::failure_tests {

/// A host process; the addresses of its listeners are "ip:port".
struct host_process {
    child_process process;
    std::string name;
    std::string ip;
    std::string settings_file;
    std::string lookup_address;
    std::string request_address;
    std::string operator_address;
};

struct endpoint_process {
    child_process process;
    std::string name;
    std::string address;
};

struct fleet_options {
    int hosts{3};
    int endpoints{2};
    /// Each name is the region, "-" and a number, as in "vestkyst-1"; hosts and endpoints are assigned to
    /// them in turn.
    std::vector<std::string> failure_domains{"vestkyst-1", "vestkyst-2", "nordjylland-1"};
    /// INI sections appended to each host's settings file.
    std::string extra_settings;
    /// Routes the connections between hosts, and from hosts to the store, through a link_stand_in, which can
    /// cut them.
    bool use_link_stand_in{false};
};

/// A store, endpoints and hosts as separate processes, on loopback addresses chosen for this fleet.
struct fleet {
    fleet() = default;
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    fleet(fleet&&) = delete;
    fleet& operator=(fleet&&) = delete;
    /// Kills all processes; removes the folder unless LYCHEEGAP_KEEP_LOGS is set.
    ~fleet();

    fleet_options options;
    /// Settings files and logs.
    std::string folder;
    /// First three numbers of the loopback addresses of this fleet, "127.a.b".
    std::string address_prefix;
    child_process store;
    std::string store_address;
    std::optional<child_process> links;
    /// Control address of the link_stand_in; empty without links.
    std::string link_control_address;
    std::vector<endpoint_process> endpoints;
    std::vector<host_process> hosts;
    transport::connection_pool connections;
};

inline constexpr std::string_view operator_secret = "operator-secret-of-tests";
inline constexpr std::string_view peer_secret = "peer-secret-of-tests";

/// Starts all processes and waits until every host has all hosts as members; prints an error and returns null
/// when that fails.
std::unique_ptr<fleet> start_fleet(const fleet_options& options);

/// Starts or restarts a host with its settings file and waits until it is ready; false when that fails.
bool start_host(fleet& test_fleet, host_process& host);

/// Sends a request and waits for the response; empty when no complete response arrives within 15 s.
std::optional<transport::http_response> send_test_request(fleet& test_fleet, const std::string& address,
                                                          const std::string& method,
                                                          const std::string& path_and_query,
                                                          std::vector<execution::header> headers = {},
                                                          std::string_view body = {});

/// Sends POST /v1/edit to a host with the operator secret; returns the response body, empty without a
/// response.
std::string post_edit(fleet& test_fleet, const host_process& host, std::string_view json);

/// Creates the service "forecast" on all endpoints, the template "school" with routes /forecast
/// (interactive), /bookings (once), /archive (deferrable) and /public (open), and one team per name with key
/// "key-of-NAME". `rate` is in requests per second, `burst` in requests. Waits until every host has the last
/// team; false when an edit fails or the wait takes longer than 20 s.
bool create_teams(fleet& test_fleet, const std::vector<std::string>& names, double rate, double burst);

/// Returns the state dump of a host as JSON; empty without a response.
std::string fetch_dump(fleet& test_fleet, const host_process& host);

/// Returns a random address prefix "127.a.b", so that concurrent fleets are unlikely to share addresses.
std::string pick_address_prefix();

/// Creates a temporary folder for settings and logs; empty on failure.
std::string make_temporary_folder();

/// Checks `condition` every 20 ms until it holds; false when `timeout` passes first.
bool wait_until(common::milliseconds timeout, const std::function<bool()>& condition);

/// Cuts or restores the traffic of one source IP address on a route of the link_stand_in: "peer-N" leads to
/// the peer listener of host N, "store-N" from host N to the store. An empty address means every source.
void set_cut(fleet& test_fleet, const std::string& route, const std::string& from_ip, bool is_cut);

/// Cuts or restores the links between host `index` and all other hosts, in both directions.
void isolate_host(fleet& test_fleet, std::size_t index, bool is_cut);

} // namespace lycheegap::failure_tests
