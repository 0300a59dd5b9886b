#include "fleet.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

#include <fmt/format.h>
#include <unistd.h>

#include "core/common/digest.h"

namespace lycheegap::failure_tests {

namespace {

using common::milliseconds;
using common::monotonic;

constexpr auto start_timeout = milliseconds(20'000);
constexpr auto response_timeout = milliseconds(15'000);
constexpr auto poll_interval = milliseconds(20);
constexpr int peer_port = 7003;
constexpr int advertised_peer_port = 7103;
constexpr int store_link_port = 7200;

std::string ip_of_host(const fleet& it, std::size_t n) {
    return fmt::format("{}.{}", it.address_prefix, n + 11);
}

std::string domain_of(const fleet& it, std::size_t n) {
    const auto& domains = it.options.failure_domains;
    return domains[n % domains.size()];
}

std::string region_of(const std::string& domain) {
    return domain.substr(0, domain.rfind('-'));
}

std::string log_file(const fleet& it, const std::string& name) {
    return it.folder + "/" + name + ".log";
}

std::string wait_ready(const child_process& child, std::string_view key) {
    return wait_for_field(child, "ready", key, monotonic::now() + start_timeout);
}

bool start_store(fleet& it) {
    const std::vector<std::string> arguments = {"--address", it.address_prefix + ".1"};
    it.store = start_child("store_stand_in", arguments, log_file(it, "store"));
    it.store_address = wait_ready(it.store, "address");
    return !it.store_address.empty();
}

bool start_endpoints(fleet& it) {
    for (int n = 0; n < it.options.endpoints; ++n) {
        endpoint_process endpoint;
        endpoint.name = fmt::format("worker-{}", n + 1);
        const std::vector<std::string> arguments = {"--name", endpoint.name, "--address",
                                                    it.address_prefix + ".2"};
        endpoint.process = start_child("endpoint_stand_in", arguments, log_file(it, endpoint.name));
        endpoint.address = wait_ready(endpoint.process, "address");
        it.endpoints.push_back(endpoint);
        if (endpoint.address.empty()) {
            return false;
        }
    }
    return true;
}

bool start_links(fleet& it) {
    std::vector<std::string> arguments = {"--address", it.address_prefix + ".3"};
    for (std::size_t n = 0; n < static_cast<std::size_t>(it.options.hosts); ++n) {
        const auto ip = ip_of_host(it, n);
        arguments.emplace_back("--route");
        arguments.push_back(
            fmt::format("peer-{}={}:{}={}:{}", n + 1, ip, advertised_peer_port, ip, peer_port));
        arguments.emplace_back("--route");
        arguments.push_back(fmt::format("store-{}={}:{}={}", n + 1, ip, store_link_port, it.store_address));
    }
    it.links = start_child("link_stand_in", arguments, log_file(it, "links"));
    it.link_control_address = wait_ready(*it.links, "address");
    return !it.link_control_address.empty();
}

std::string settings_text(const fleet& it, std::size_t n) {
    const auto ip = ip_of_host(it, n);
    const auto domain = domain_of(it, n);
    const bool use_link_stand_in = it.options.use_link_stand_in;
    const auto store = use_link_stand_in ? fmt::format("{}:{}", ip, store_link_port) : it.store_address;
    return fmt::format("[host]\nname = host-{}\naddress = {}\nregion = {}\nfailure_domain = {}\n"
                       "[operators]\nsecret = {}\n[peers]\nsecret = {}\nport = {}\nadvertised_port = {}\n"
                       "[store]\naddress = {}\n{}",
                       n + 1, ip, region_of(domain), domain, operator_secret, peer_secret,
                       use_link_stand_in ? peer_port : 0, use_link_stand_in ? advertised_peer_port : 0, store,
                       it.options.extra_settings);
}

bool start_hosts(fleet& it) {
    for (std::size_t n = 0; n < static_cast<std::size_t>(it.options.hosts); ++n) {
        host_process host;
        host.name = fmt::format("host-{}", n + 1);
        host.ip = ip_of_host(it, n);
        host.settings_file = it.folder + "/" + host.name + ".ini";
        std::ofstream(host.settings_file) << settings_text(it, n);
        it.hosts.push_back(host);
        if (!start_host(it, it.hosts.back())) {
            return false;
        }
    }
    return true;
}

bool has_all_members(fleet& it, const host_process& host) {
    const auto dump = fetch_dump(it, host);
    for (const auto& other : it.hosts) {
        // Only the names in the generation count: in a dump it stands before catalog_revision, teams and
        // peers.
        const auto members = dump.substr(0, dump.find("catalog_revision"));
        if (members.find("\"members\"") == std::string::npos ||
            members.find("\"name\": \"" + other.name + "\"", members.find("\"members\"")) ==
                std::string::npos) {
            return false;
        }
    }
    return true;
}

bool wait_for_members(fleet& it) {
    return wait_until(start_timeout, [&] {
        for (const auto& host : it.hosts) {
            if (!has_all_members(it, host)) {
                return false;
            }
        }
        return true;
    });
}

std::string service_json(const fleet& it) {
    std::string endpoints;
    for (std::size_t n = 0; n < it.endpoints.size(); ++n) {
        const auto domain = domain_of(it, n);
        endpoints += fmt::format(
            "{}{{\"name\":\"{}\",\"address\":\"{}\",\"region\":\"{}\",\"failure_domain\":\"{}\","
            "\"slots\":4}}",
            n == 0 ? "" : ",", it.endpoints[n].name, it.endpoints[n].address, region_of(domain), domain);
    }
    return fmt::format("{{\"set_service\":{{\"name\":\"forecast\",\"endpoints\":[{}]}}}}", endpoints);
}

constexpr std::string_view template_json =
    R"({"set_template":{"name":"school","routes":[)"
    R"({"method":"GET","path_prefix":"/forecast","service":"forecast"},)"
    R"({"method":"POST","path_prefix":"/bookings","service":"forecast","work":"once"},)"
    R"({"method":"GET","path_prefix":"/archive","service":"forecast","work":"deferrable"},)"
    R"({"method":"GET","path_prefix":"/public","service":"forecast","open":true}]}})";

std::string team_json(const std::string& name, double rate, double burst) {
    return fmt::format(
        "{{\"set_team\":{{\"name\":\"{}\",\"template_name\":\"school\",\"rate\":{},\"burst\":{},"
        "\"services\":[\"forecast\"],\"key_digests\":[\"{}\"]}}}}",
        name, rate, burst, common::key_digest("key-of-" + name));
}

bool check_edit_succeeded(const std::string& response) {
    const bool succeeded = response.find("\"recorded\"") != std::string::npos ||
                           response.find("\"accepted\"") != std::string::npos;
    if (!succeeded) {
        std::cerr << "edit failed: " << response << '\n';
    }
    return succeeded;
}

bool all_hosts_have_team(fleet& it, const std::string& name) {
    for (const auto& host : it.hosts) {
        if (fetch_dump(it, host).find("\"name\": \"" + name + "\",\"home\"") == std::string::npos) {
            return false;
        }
    }
    return true;
}

} // namespace

fleet::~fleet() {
    for (auto& it : hosts) {
        kill_child(it.process);
    }
    for (auto& it : endpoints) {
        kill_child(it.process);
    }
    kill_child(store);
    if (links) {
        kill_child(*links);
    }
    if (std::getenv("LYCHEEGAP_KEEP_LOGS") == nullptr && !folder.empty()) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    }
}

std::unique_ptr<fleet> start_fleet(const fleet_options& options) {
    auto it = std::make_unique<fleet>();
    it->options = options;
    it->address_prefix = pick_address_prefix();
    it->folder = make_temporary_folder();
    const bool started = start_store(*it) && (!options.use_link_stand_in || start_links(*it)) &&
                         start_endpoints(*it) && start_hosts(*it) && wait_for_members(*it);
    if (!started) {
        std::cerr << "the fleet did not start\n";
        return nullptr;
    }
    return it;
}

bool start_host(fleet& test_fleet, host_process& host) {
    // wait_for_field reads the first match, which after a restart would be a line of the earlier process.
    const auto log = log_file(test_fleet, host.name);
    std::filesystem::remove(log);
    const std::vector<std::string> arguments = {"--settings", host.settings_file};
    host.process = start_child("lycheegapd", arguments, log);
    host.lookup_address = wait_ready(host.process, "lookup");
    host.request_address = wait_for_field(host.process, "ready", "request", monotonic::now() + start_timeout);
    host.operator_address =
        wait_for_field(host.process, "ready", "operator", monotonic::now() + start_timeout);
    return !host.operator_address.empty();
}

std::optional<transport::http_response> send_test_request(fleet& test_fleet, const std::string& address,
                                                          const std::string& method,
                                                          const std::string& path_and_query,
                                                          std::vector<execution::header> headers,
                                                          std::string_view body) {
    transport::http_call call;
    call.address = address;
    call.head.method = method;
    const auto query_start = path_and_query.find('?');
    call.head.path = path_and_query.substr(0, query_start);
    call.head.query = query_start == std::string::npos ? "" : path_and_query.substr(query_start + 1);
    call.head.headers = std::move(headers);
    call.body = transport::as_bytes(body);
    call.deadline = monotonic::now() + response_timeout;
    return transport::call_http(test_fleet.connections, call).response;
}

std::string post_edit(fleet& test_fleet, const host_process& host, std::string_view json) {
    const execution::header secret_header{"authorization", std::string(operator_secret)};
    const auto response =
        send_test_request(test_fleet, host.operator_address, "POST", "/v1/edit", {secret_header}, json);
    return response ? response->body : std::string();
}

bool create_teams(fleet& test_fleet, const std::vector<std::string>& names, double rate, double burst) {
    const auto& host = test_fleet.hosts.front();
    if (!check_edit_succeeded(post_edit(test_fleet, host, service_json(test_fleet))) ||
        !check_edit_succeeded(post_edit(test_fleet, host, template_json))) {
        return false;
    }
    for (const auto& name : names) {
        if (!check_edit_succeeded(post_edit(test_fleet, host, team_json(name, rate, burst)))) {
            return false;
        }
    }
    return names.empty() ||
           wait_until(start_timeout, [&] { return all_hosts_have_team(test_fleet, names.back()); });
}

std::string fetch_dump(fleet& test_fleet, const host_process& host) {
    const execution::header secret_header{"authorization", std::string(operator_secret)};
    const auto response =
        send_test_request(test_fleet, host.operator_address, "GET", "/v1/dump", {secret_header});
    return response ? response->body : std::string();
}

std::string pick_address_prefix() {
    const auto random_number = common::random_bits();
    // 127.0.x is left to other programs on the machine.
    return fmt::format("127.{}.{}", 1 + random_number % 250, (random_number >> 8U) % 250);
}

std::string make_temporary_folder() {
    auto path = (std::filesystem::temp_directory_path() / "lycheegap-XXXXXX").string();
    return mkdtemp(path.data()) == nullptr ? std::string() : path;
}

bool wait_until(milliseconds timeout, const std::function<bool()>& condition) {
    const auto deadline = monotonic::now() + timeout;
    while (!condition()) {
        if (monotonic::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

void set_cut(fleet& test_fleet, const std::string& route, const std::string& from_ip, bool is_cut) {
    send_test_request(test_fleet, test_fleet.link_control_address, "POST",
                      fmt::format("/control?route={}&from={}&cut={}", route, from_ip, is_cut ? 1 : 0));
}

void isolate_host(fleet& test_fleet, std::size_t index, bool is_cut) {
    for (std::size_t n = 0; n < test_fleet.hosts.size(); ++n) {
        if (n == index) {
            continue;
        }
        set_cut(test_fleet, fmt::format("peer-{}", n + 1), test_fleet.hosts[index].ip, is_cut);
        set_cut(test_fleet, fmt::format("peer-{}", index + 1), test_fleet.hosts[n].ip, is_cut);
    }
}

} // namespace lycheegap::failure_tests
