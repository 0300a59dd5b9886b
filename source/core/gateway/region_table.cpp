#include "region_table.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>

#include "core/common/log.h"
#include "core/traffic/region_load.h"

namespace lycheegap::gateway {

namespace {

using common::field;
using common::monotonic;

// Time for which a request takes a slot of a cold endpoint.
constexpr double cold_request_s = 1;
// Smaller moves are counted but not logged.
constexpr double min_logged_shift = 0.01;

/// A divided service, as measured.
struct measured_service {
    std::string name;
    std::vector<std::string> regions;
    std::size_t endpoints{0};
    traffic::region_load load;
};

/// Regions of all hosts of the fleet.
std::vector<std::string> host_regions(gateway_state& state) {
    const auto fleet = current_fleet(state);
    std::vector<std::string> regions;
    for (const auto& [name, it] : fleet->members) {
        regions.push_back(it.region);
    }
    return regions;
}

/// Services of the configuration with several regions of endpoints.
std::vector<measured_service> services_to_measure(gateway_state& state,
                                                  const traffic::configuration& config) {
    std::vector<measured_service> found;
    const std::lock_guard guard(state.endpoints.mutex);
    for (const auto& [name, endpoints] : state.endpoints.set.by_service) {
        if (config.services.contains(name)) {
            found.push_back(
                {name, traffic::regions_of_service(state.endpoints.set, name), endpoints.size(), {}});
        }
    }
    return found;
}

/// Starts or ends the division of the service; false if it is not divided.
bool prepare_routing(gateway_state& state, measured_service& service) {
    const std::lock_guard guard(state.regions.mutex);
    auto& services = state.regions.services;
    const auto known = services.find(service.name);
    if (!traffic::should_divide(service.endpoints, service.regions.size(), known != services.end())) {
        if (known != services.end()) {
            services.erase(known);
        }
        return false;
    }
    auto& routing = services[service.name];
    traffic::add_regions(routing, service.regions);
    traffic::add_regions(routing, std::span(&state.options.region, 1));
    service.regions = routing.regions;
    return true;
}

/// Shares, used slots and slots of each region.
std::string describe_regions(const traffic::region_routing& routing) {
    std::string text;
    for (std::size_t n = 0; n < routing.regions.size(); ++n) {
        const auto& view = routing.views[n];
        text += fmt::format("{}{}:{:.2f}:{:.0f}/{:.0f}", n == 0 ? "" : ",", routing.regions[n],
                            routing.split.shares[n], view.used_slots, view.slots);
    }
    return text;
}

/// One decision for a service.
void update_service(gateway_state& state, const measured_service& service,
                    const traffic::region_position& position, const traffic::region_limits& limits,
                    common::time_point now) {
    traffic::region_shift shift;
    std::string regions;
    double demand_slots = 0;
    {
        const std::lock_guard guard(state.regions.mutex);
        auto& routing = state.regions.services[service.name];
        shift = traffic::update_routing(routing, service.load, position, limits, now);
        regions = describe_regions(routing);
        demand_slots = routing.demand_slots;
    }
    if (shift.moved + shift.left <= 0) {
        return;
    }
    common::count(state.metrics, "region_shifts");
    if (shift.moved + shift.left >= min_logged_shift) {
        common::log_info("region_shifted",
                         {field("service", service.name), field("moved", shift.moved),
                          field("left", shift.left), field("regions", regions),
                          field("demand_slots", demand_slots), field("hosts", position.host_regions.size())});
    }
}

} // namespace

void update_regions(gateway_state& state) {
    const auto now = monotonic::now();
    const auto config = current_configuration(state);
    const auto limits = traffic::limits_for(state.options.region_shift);
    if (limits.shift_cap <= 0 || !config) {
        return;
    }
    {
        const std::lock_guard guard(state.regions.mutex);
        if (now < state.regions.next_decision) {
            return;
        }
        state.regions.next_decision = now + traffic::region_interval;
    }
    const auto hosts = host_regions(state);
    const traffic::region_position position{state.options.host, state.options.region, hosts};
    for (auto& service : services_to_measure(state, *config)) {
        if (!prepare_routing(state, service)) {
            continue;
        }
        const double cold_slots = config->services.find(service.name)->second.cold_rate * cold_request_s;
        {
            const std::lock_guard guard(state.endpoints.mutex);
            service.load =
                traffic::measure_regions(state.endpoints.set, service.name, service.regions, cold_slots, now);
        }
        update_service(state, service, position, limits, now);
    }
}

std::string select_region(gateway_state& state, std::string_view service, std::string_view object_key,
                          std::span<const std::string> allowed) {
    const std::lock_guard guard(state.regions.mutex);
    const auto found = state.regions.services.find(service);
    if (found == state.regions.services.end()) {
        return {};
    }
    traffic::note_routed(state.regions.fallbacks, traffic::limits_for(state.options.region_shift));
    const traffic::region_position position{state.options.host, state.options.region, {}};
    return std::string(traffic::choose_region(found->second, position, object_key, allowed));
}

bool may_leave_region(gateway_state& state, std::string_view service, std::string_view region) {
    {
        const std::lock_guard guard(state.endpoints.mutex);
        if (!traffic::is_region_available(state.endpoints.set, service, region, monotonic::now())) {
            return true;
        }
    }
    bool allowed = false;
    {
        const std::lock_guard guard(state.regions.mutex);
        allowed = traffic::take_fallback(state.regions.fallbacks);
    }
    common::count(state.metrics, allowed ? "region_fallbacks" : "region_fallbacks_refused");
    return allowed;
}

} // namespace lycheegap::gateway
