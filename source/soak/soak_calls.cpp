#include "soak_calls.h"

#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lycheegap::soak {

namespace {

using common::milliseconds;
using common::monotonic;
using execution::find_header;

constexpr milliseconds lookup_timeout{1000};
constexpr milliseconds lookup_ttl{3000};
constexpr int min_deadline_ms = 300;
constexpr int max_deadline_ms = 3000;
// Callers wait this much longer than the deadline that they send.
constexpr milliseconds response_grace{500};
constexpr int max_pause_ms = 25;
// One of so many calls is an upload.
constexpr int calls_per_upload = 20;
// More than the buffers of a connection hold.
constexpr std::size_t upload_bytes = 600'000;
constexpr int status_ok = 200;

/// State of one caller. Its connections stay open until the host closes them.
struct soak_caller {
    std::mt19937_64 random;
    std::string zone;
    transport::connection_pool connections;
    /// Request addresses of the last lookup, without hosts that failed since.
    std::vector<std::string> hosts;
    common::time_point hosts_expire_at;

    /// Random number from `min` to `max`, both included.
    int draw(int min, int max) {
        return std::uniform_int_distribution<int>(min, max)(random);
    }
};

transport::http_call make_call(const std::string& address, const std::string& method, const std::string& path,
                               milliseconds timeout) {
    transport::http_call call;
    call.address = address;
    call.head.method = method;
    call.head.path = path;
    call.deadline = monotonic::now() + timeout;
    return call;
}

/// Looks up the addresses to use at one host after the other, from a random one, until one answers.
void look_up_hosts(const soak_fleet& fleet, soak_caller& caller) {
    const auto first = static_cast<std::size_t>(caller.draw(0, 1000));
    for (std::size_t n = 0; n < fleet.hosts.size(); ++n) {
        const auto& asked = fleet.hosts[(first + n) % fleet.hosts.size()];
        auto call = make_call(asked.lookup_address, "GET", "/api/resolve", lookup_timeout);
        call.head.query = fmt::format("name=soak.example&region=coast&zone={}", caller.zone);
        const auto result = transport::call_http(caller.connections, call);
        if (!result.response || result.response->status != status_ok) {
            continue;
        }
        const auto response = nlohmann::json::parse(result.response->body, nullptr, false);
        if (response.is_object() && response.contains("addresses")) {
            caller.hosts = response["addresses"].get<std::vector<std::string>>();
            caller.hosts_expire_at = monotonic::now() + lookup_ttl;
            return;
        }
    }
}

/// Sends one random request to a host and records the result.
call_record send(soak_caller& caller, const std::string& host, std::size_t team) {
    call_record record;
    record.id = fmt::format("{:016x}", caller.random());
    record.team = team;
    record.is_upload = caller.draw(1, calls_per_upload) == 1;
    record.is_safe = !record.is_upload && caller.draw(0, 3) > 0;
    record.host = host;
    const milliseconds deadline{caller.draw(min_deadline_ms, max_deadline_ms)};
    const auto* path = record.is_upload ? "/upload/swell" : record.is_safe ? "/read/swell" : "/book/lesson";
    auto call = make_call(host, record.is_safe ? "GET" : "POST", path, deadline + response_grace);
    const auto body = record.is_upload ? std::string(upload_bytes, 'u')
                      : record.is_safe ? ""
                                       : "lesson at dawn";
    call.body = transport::as_bytes(body);
    call.head.headers = {{"Host", "soak.example"},
                         {"Lycheegap-Request-Id", record.id},
                         {"Lycheegap-Request-Deadline", std::to_string(deadline.count())},
                         {"Authorization", "Bearer " + team_key(team)},
                         {"Cookie", fmt::format("Lycheegap-Affinity-Key={}", caller.draw(0, 30))}};
    record.sent_ms = common::unix_milliseconds();
    const auto result = transport::call_http(caller.connections, call);
    record.ended_ms = common::unix_milliseconds();
    if (result.response) {
        const auto& response = *result.response;
        record.status = response.status;
        record.response_matches =
            response.body == "body-of-" + record.id &&
            find_header(response.headers, "Lycheegap-Response-Seal") == "seal-" + record.id;
    }
    return record;
}

} // namespace

soak_callers::soak_callers(const soak_fleet& fleet, std::size_t callers, std::uint64_t seed) : fleet_(fleet) {
    for (std::size_t n = 0; n < callers; ++n) {
        threads_.emplace_back([this, n, seed] { send_until_stopped(n, seed); });
    }
}

soak_callers::~soak_callers() {
    stop();
}

std::vector<call_record> soak_callers::stop() {
    stopping_ = true;
    for (auto& it : threads_) {
        it.join();
    }
    threads_.clear();
    return records();
}

std::vector<call_record> soak_callers::records() {
    const std::lock_guard guard(mutex_);
    return records_;
}

void soak_callers::send_until_stopped(std::size_t n, std::uint64_t seed) {
    soak_caller caller;
    caller.random.seed(seed * 1000 + n);
    caller.zone = fmt::format("zone-{}", n % 3 + 1);
    while (!stopping_) {
        if (monotonic::now() >= caller.hosts_expire_at) {
            look_up_hosts(fleet_, caller);
        }
        if (!caller.hosts.empty()) {
            const auto pick = static_cast<std::size_t>(caller.draw(0, 1000)) % caller.hosts.size();
            auto record = send(caller, caller.hosts[pick], n % team_count);
            if (record.status == 0) {
                // Do not use a host that gave no response until the next lookup.
                caller.hosts.erase(caller.hosts.begin() + static_cast<std::ptrdiff_t>(pick));
            }
            const std::lock_guard guard(mutex_);
            records_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(milliseconds{caller.draw(0, max_pause_ms)});
    }
}

} // namespace lycheegap::soak
