#include "endpoint_probes.h"

#include <algorithm>
#include <mutex>

#include "core/schema/codec.h"
#include "core/schema/peer_codec.h"
#include "core/steering/probing.h"
#include "endpoint_use.h"
#include "host_state.h"
#include "periodic.h"
#include "region_use.h"

namespace lycheegap::host {

namespace {

using common::milliseconds;
using common::monotonic;
using common::time_point;

constexpr auto probe_timeout = milliseconds(500);
constexpr auto report_timeout = milliseconds(1000);
constexpr int checks_per_probe_interval = 4;

struct due_endpoint {
    std::string address;
    /// The last report of its load is older than a probe interval.
    bool needs_probe{false};
};

milliseconds probe_interval(const host_state& host) {
    return milliseconds(host.settings.steering->probe_interval);
}

/// Endpoints whose load is this host's turn to report to the others; they are marked as reported at once.
std::vector<due_endpoint> claim_due_endpoints(host_state& host, time_point now) {
    const auto members = current_generation(host);
    const auto interval = probe_interval(host);
    std::vector<due_endpoint> due;
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, endpoints] : host.endpoints.services) {
        for (auto& it : endpoints) {
            const auto rank = steering::prober_rank(it.address, host.self.name, *members);
            if (steering::is_probe_due(rank, it.shared_at, interval, now)) {
                it.shared_at = now;
                due.push_back({it.address, it.reported_at + interval <= now});
            }
        }
    }
    return due;
}

void record_probe_failure(host_state& host, std::string_view address) {
    const auto now = monotonic::now();
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, endpoints] : host.endpoints.services) {
        for (auto& it : endpoints) {
            if (it.address == address) {
                steering::note_failure(it, now);
            }
        }
    }
}

void probe(host_state& host, const std::string& address) {
    transport::http_call call;
    call.address = address;
    call.head.method = "GET";
    call.head.path = "/health";
    call.deadline = monotonic::now() + probe_timeout;
    common::count(host.metrics, "probes");
    const auto result = transport::call_http(host.endpoint_connections, call);
    if (result.response) {
        apply_answer_headers(host, address, result.response->headers);
    } else {
        record_probe_failure(host, address);
    }
}

void add_endpoint_load(host_state& host, std::string_view address, time_point now,
                       schema::load_report_t& report) {
    const std::lock_guard guard(host.endpoints.mutex);
    for (const auto& [service, endpoints] : host.endpoints.services) {
        for (const auto& it : endpoints) {
            if (it.address == address && it.reported_at != time_point{}) {
                auto load = std::make_unique<schema::endpoint_load_t>();
                load->address = it.address;
                load->load = it.reported_load;
                load->draining = it.draining;
                load->age_ms = common::milliseconds_between(it.reported_at, now);
                report.endpoints.push_back(std::move(load));
                return;
            }
        }
    }
}

void broadcast_loads(host_state& host, std::span<const due_endpoint> due) {
    schema::load_report_t report;
    report.host = host.self.name;
    const auto now = monotonic::now();
    for (const auto& it : due) {
        add_endpoint_load(host, it.address, now, report);
    }
    if (report.endpoints.empty()) {
        return;
    }
    const auto encoded = schema::encode_peer(std::move(report));
    const auto members = current_generation(host);
    for (const auto& it : members->members) {
        if (it.name != host.self.name) {
            host.peers->call(it.peer_address, encoded, now + report_timeout,
                             [](const std::optional<schema::bytes>& /*answer*/) {});
        }
    }
}

void probe_and_broadcast(host_state& host) {
    const auto due = claim_due_endpoints(host, monotonic::now());
    for (const auto& it : due) {
        if (it.needs_probe) {
            probe(host, it.address);
        }
    }
    if (!due.empty()) {
        broadcast_loads(host, due);
    }
}

void record_broadcast(host_state& host, std::string_view address, time_point now) {
    const std::lock_guard guard(host.endpoints.mutex);
    for (auto& [service, endpoints] : host.endpoints.services) {
        for (auto& it : endpoints) {
            if (it.address == address) {
                it.shared_at = now;
            }
        }
    }
}

} // namespace

void start_steering(host_state& host) {
    start_periodic(host, probe_interval(host) / checks_per_probe_interval, &probe_and_broadcast);
    start_periodic(host, milliseconds(host.settings.steering->shift_interval), &shift_region_shares);
}

schema::load_report_answer_t handle_load_report(host_state& host, const schema::load_report_t& report) {
    const auto now = monotonic::now();
    for (const auto& it : report.endpoints) {
        const auto age = milliseconds(std::max<std::int64_t>(0, it->age_ms));
        apply_load_report(host, it->address, {it->load, it->draining}, now - age);
        record_broadcast(host, it->address, now);
    }
    schema::load_report_answer_t answer;
    answer.host = host.self.name;
    return answer;
}

} // namespace lycheegap::host
