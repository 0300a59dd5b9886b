#include "soak_fleet.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "core/common/digest.h"
#include "core/common/percent_encoding.h"
#include "failure_tests/fleet.h"
#include "soak_checks.h"

namespace lycheegap::soak {

namespace {

using common::milliseconds;
using common::monotonic;
using failure_tests::start_child;
using nlohmann::json;

constexpr milliseconds start_timeout{20'000};
constexpr milliseconds call_timeout{3000};
constexpr int request_port = 7001;
constexpr int ready_port = 7002;
constexpr int lookup_port = 7003;
constexpr int operator_port = 7004;
constexpr int peer_port = 7005;
constexpr int store_link_port = 7200;
constexpr int endpoint_port = 7300;
constexpr int endpoint_link_port = 7400;
constexpr int uploads_port = 7500;
// Items in a response to a range read, so that all of them take several.
constexpr int page_items = 5;
// Parts of names that a query or JSON may not carry as they are. More in a row than a page has items.
constexpr std::array<std::string_view, 8> odd_parts = {"\x01", " ",    "#",        "%41",
                                                       "&",    "&a=b", "\xc3\xa9", "\xff"};

std::string zone_of(std::size_t n) {
    return fmt::format("zone-{}", n % 3 + 1);
}

std::string log_file(const soak_fleet& fleet, const std::string& name) {
    return fleet.folder + "/" + name + ".log";
}

/// Waits for the "ready" log line of a process; returns its listen address, or "" after `start_timeout`.
std::string ready_address(const child_process& child) {
    return failure_tests::wait_for_field(child, "ready", "address", monotonic::now() + start_timeout);
}

std::string settings_text(const soak_host& host, std::size_t n) {
    const auto& ip = host.ip;
    return fmt::format(
        "[host]\nname = {}\naddress = {}\nregion = coast\nfailure_domain = {}\n"
        "[listeners]\nrequests = {}\nreadiness = {}:{}\nlookups = {}\noperators = {}:{}\npeer_port = {}\n"
        "[fleet]\ndomains = zone-1:coast,zone-2:coast,zone-3:coast\nstore = {}:{}\n"
        "[bounds]\nstop_time = 6\n[process]\nlog_level = info\n",
        host.name, ip, zone_of(n), host.request_address, ip, ready_port, host.lookup_address, ip,
        operator_port, peer_port, ip, store_link_port);
}

/// Fills in the hosts and writes their settings files; starts nothing.
void define_hosts(soak_fleet& fleet, std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
        soak_host host;
        host.name = fmt::format("host-{}", n + 1);
        host.ip = fmt::format("{}.{}", fleet.network, n + 11);
        host.request_address = fmt::format("{}:{}", host.ip, request_port);
        host.lookup_address = fmt::format("{}:{}", host.ip, lookup_port);
        host.settings_file = fmt::format("{}/{}.ini", fleet.folder, host.name);
        std::ofstream(host.settings_file) << settings_text(host, n);
        fleet.hosts.push_back(std::move(host));
    }
}

/// Fills in the endpoints; starts nothing.
void define_endpoints(soak_fleet& fleet, std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
        soak_endpoint endpoint;
        endpoint.id = fmt::format("endpoint-{}", n + 1);
        endpoint.address = fmt::format("{}.2:{}", fleet.network, endpoint_port + n);
        endpoint.link_address = fmt::format("{}.3:{}", fleet.network, endpoint_link_port + n);
        fleet.endpoints.push_back(std::move(endpoint));
    }
    fleet.uploads.id = "uploads";
    fleet.uploads.address = fmt::format("{}.2:{}", fleet.network, uploads_port);
}

/// Starts the link relay with a route from each host to the store and a route to each endpoint.
bool start_links(soak_fleet& fleet) {
    std::vector<std::string> arguments = {"--address", fleet.network + ".3"};
    const auto add = [&](const std::string& name, const std::string& listen, const std::string& target) {
        arguments.emplace_back("--route");
        arguments.push_back(fmt::format("{}={}={}", name, listen, target));
    };
    for (const auto& it : fleet.hosts) {
        add("store-" + it.name, fmt::format("{}:{}", it.ip, store_link_port), fleet.store_address);
    }
    for (const auto& it : fleet.endpoints) {
        add(it.id, it.link_address, it.address);
    }
    fleet.links = start_child("link_stand_in", arguments, log_file(fleet, "links"));
    fleet.link_control_address = ready_address(fleet.links);
    return !fleet.link_control_address.empty();
}

bool start_store(soak_fleet& fleet) {
    const std::vector<std::string> arguments = {"--address", fleet.network + ".1"};
    fleet.store = start_child("platform_store_stand_in", arguments, log_file(fleet, "store"));
    fleet.store_address = ready_address(fleet.store);
    return !fleet.store_address.empty();
}

json route_resource(std::string_view prefix, std::string_view kind, std::string_view service = "desk") {
    return {{"resource_kind", "routes"},
            {"metadata", {{"name", prefix}}},
            {"spec",
             {{"host", "soak.example"},
              {"prefix", prefix},
              {"kind", kind},
              {"service", service},
              {"timeout_s", 3.0},
              {"target_latency_s", 0.5},
              {"max_attempts", 2},
              {"session_affinity", true}}}};
}

json team_resource(std::size_t n, bool include_withdrawn_key) {
    json keys = json::array({team_key(n)});
    if (n == 1 && include_withdrawn_key) {
        keys.push_back(withdrawn_key);
    }
    return {{"resource_kind", "tenants"},
            {"metadata", {{"name", team_name(n)}}},
            {"spec",
             {{"api_keys", keys},
              {"rate_per_s", n == 0 ? limited_rate_per_s : 0},
              {"burst", n == 0 ? limited_burst_requests : 0}}}};
}

/// A route that nobody calls; `version` of the configuration decides which of them has another time-out.
json unused_route(std::size_t n, int version) {
    auto made =
        route_resource(fmt::format("/unused/{:016x}/", common::stable_hash(std::to_string(n))), "safe");
    made["spec"]["timeout_s"] = n == static_cast<std::size_t>(version) ? 4.0 : 3.0;
    return made;
}

std::string configuration_text(int version, bool include_withdrawn_key, std::size_t unused_routes) {
    json resources = json::array({route_resource("/read/", "safe"), route_resource("/book/", "unsafe"),
                                  route_resource("/upload/", "unsafe", "archive")});
    for (std::size_t n = 0; n < team_count; ++n) {
        resources.push_back(team_resource(n, include_withdrawn_key));
    }
    for (std::size_t n = 0; n < unused_routes; ++n) {
        resources.push_back(unused_route(n, version));
    }
    const json configuration = {{"version", version}, {"resources", resources}};
    return configuration.dump();
}

/// Sends one request, with an API key if `key` is not empty.
transport::http_result send_request(soak_fleet& fleet, const std::string& address, const std::string& method,
                                    const std::string& path, const std::string& query,
                                    const std::string& body, std::string_view key) {
    transport::http_call call;
    call.address = address;
    call.head.method = method;
    call.head.path = path;
    call.head.query = query;
    call.head.headers = {{"Host", "soak.example"}};
    if (!key.empty()) {
        call.head.headers.push_back({"Authorization", "Bearer " + std::string(key)});
        call.head.headers.push_back({"Lycheegap-Request-Id", fmt::format("{:016x}", common::random_bits())});
    }
    call.body = transport::as_bytes(body);
    call.deadline = monotonic::now() + call_timeout;
    return transport::call_http(fleet.connections, call);
}

/// Status of the response, or 0 without one.
int status_of(const transport::http_result& result) {
    return result.response ? result.response->status : 0;
}

/// Starts the endpoint of uploads and writes its entry, which no lease ends.
bool start_uploads(soak_fleet& fleet) {
    auto& it = fleet.uploads;
    const std::vector<std::string> arguments = {"--id", it.id, "--address", it.address};
    it.process = start_child("upload_endpoint_stand_in", arguments, log_file(fleet, it.id));
    const json entry = {
        {"address", it.address},
        {"born", common::unix_milliseconds()},
        {"info", {{"service", "archive"}, {"version", "v1"}, {"zone", zone_of(0)}, {"capacity", 64}}},
        {"status", {{"state", "ready"}, {"sequence", 1}, {"cold_remaining_s", 0.0}}}};
    const auto written = send_request(fleet, fleet.store_address, "POST", "/operator", "key=servers/" + it.id,
                                      entry.dump(), "");
    return !ready_address(it.process).empty() && status_of(written) == 200;
}

bool all_hosts_serve(soak_fleet& fleet) {
    return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                       [&](const auto& it) { return serves(fleet, it, team_key(1)); });
}

} // namespace

soak_fleet::~soak_fleet() {
    for (auto& it : hosts) {
        failure_tests::kill_child(it.process);
    }
    for (auto& it : endpoints) {
        failure_tests::kill_child(it.process);
    }
    failure_tests::kill_child(uploads.process);
    failure_tests::kill_child(links);
    failure_tests::kill_child(store);
}

std::string team_name(std::size_t n) {
    return fmt::format("team-{}", n);
}

std::string team_key(std::size_t n) {
    return fmt::format("key-of-team-{}", n);
}

void start_host(soak_fleet& fleet, std::size_t n) {
    auto& host = fleet.hosts[n];
    const std::vector<std::string> arguments = {"--settings", host.settings_file};
    host.process = start_child("lycheegap_platformd", arguments, log_file(fleet, host.name));
}

void start_endpoint(soak_fleet& fleet, std::size_t n) {
    auto& it = fleet.endpoints[n];
    const std::vector<std::string> arguments = {
        "--id",     it.id,     "--service",         "desk",        "--address",    it.address, "--zone",
        zone_of(n), "--store", fleet.store_address, "--advertise", it.link_address};
    it.process = start_child("platform_endpoint_stand_in", arguments, log_file(fleet, it.id));
}

std::unique_ptr<soak_fleet> start_soak_fleet(const soak_size& size) {
    auto fleet = std::make_unique<soak_fleet>();
    fleet->network = failure_tests::pick_address_prefix();
    fleet->folder = failure_tests::make_temporary_folder();
    fleet->unused_routes = size.unused_routes;
    define_hosts(*fleet, size.hosts);
    define_endpoints(*fleet, size.endpoints);
    if (fleet->folder.empty() || !start_store(*fleet) || !start_links(*fleet) || !start_uploads(*fleet)) {
        std::cerr << "the store, the link relay or the endpoint of uploads did not start, logs in "
                  << fleet->folder << '\n';
        return nullptr;
    }
    send_control(*fleet, fleet->store_address, fmt::format("page_items={}", page_items));
    for (std::size_t n = 0; n < size.endpoints; ++n) {
        start_endpoint(*fleet, n);
    }
    for (std::size_t n = 0; n < size.hosts; ++n) {
        start_host(*fleet, n);
    }
    write_configuration(*fleet, true);
    if (!failure_tests::wait_until(start_timeout, [&] { return all_hosts_serve(*fleet); })) {
        std::cerr << "not all hosts serve after the start, logs in " << fleet->folder << '\n';
        return nullptr;
    }
    return fleet;
}

namespace {

bool put_configuration(soak_fleet& fleet, int version, bool include_withdrawn_key) {
    const auto text = configuration_text(version, include_withdrawn_key, fleet.unused_routes);
    return status_of(send_request(fleet, fleet.store_address, "POST", "/operator", "key=op/config", text,
                                  "")) == 200;
}

} // namespace

void rewrite_configuration(soak_fleet& fleet) {
    put_configuration(fleet, fleet.configuration_version, true);
}

void write_odd_entries(soak_fleet& fleet) {
    for (const auto part : odd_parts) {
        const auto key = fmt::format("servers/m{}z", part);
        send_request(fleet, fleet.store_address, "POST", "/operator", "key=" + common::percent_encode(key),
                     "by another writer", "");
    }
}

void write_note(soak_fleet& fleet) {
    send_request(fleet, fleet.store_address, "POST", "/operator", "key=notes/soak", "note", "");
}

bool write_configuration(soak_fleet& fleet, bool include_withdrawn_key) {
    const bool accepted = put_configuration(fleet, fleet.configuration_version + 1, include_withdrawn_key);
    fleet.configuration_version += accepted ? 1 : 0;
    return accepted;
}

void send_control(soak_fleet& fleet, const std::string& address, const std::string& query) {
    send_request(fleet, address, "GET", "/control", query, "", "");
}

bool serves(soak_fleet& fleet, const soak_host& host, std::string_view key) {
    return status_of(send_request(fleet, host.request_address, "GET", "/read/probe", "", "", key)) == 200;
}

std::uint64_t replicated_bytes(soak_fleet& fleet, const soak_host& host) {
    const auto result =
        send_request(fleet, fmt::format("{}:{}", host.ip, operator_port), "GET", "/metrics", "", "", "");
    return result.response ? read_counter(result.response->body, "mirror_answer_bytes") : 0;
}

} // namespace lycheegap::soak
