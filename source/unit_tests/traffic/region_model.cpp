#include "region_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "core/common/digest.h"

namespace lycheegap::traffic {

namespace {

// Part of the load that is replaced in one second: requests take about 1.5 s.
constexpr double load_change = 0.5;
constexpr double measurement_error = 0.04;

double error_of(const region_model& model, std::string_view host, std::size_t region) {
    const auto second = static_cast<std::uint64_t>(common::seconds_between({}, model.now));
    const auto hash = common::stable_hash(host, second * model_regions + region);
    return 1 + measurement_error * (static_cast<double>(hash % 2001) / 1000 - 1);
}

region_load measure(const region_model& model, const region_model_host& host, double own_slots) {
    region_load load;
    load.own_requests = own_slots;
    for (std::size_t n = 0; n < model_regions; ++n) {
        load.views.push_back({model.slots[n],
                              model.slots[n] > 0 ? model.used[n] * error_of(model, host.name, n) : 0,
                              model.now});
        load.reports.push_back(1);
    }
    return load;
}

} // namespace

region_model make_region_model(std::size_t hosts, std::size_t objects, const region_counts& slots,
                               double max_shift) {
    region_model model;
    model.slots = slots;
    model.limits = limits_for(max_shift);
    for (std::size_t n = 0; n < objects; ++n) {
        model.objects.push_back("object-" + std::to_string(n));
    }
    for (std::size_t n = 0; n < hosts; ++n) {
        model.hosts.push_back({"host-" + std::to_string(n), n % model_regions, {}});
        model.host_regions.push_back(model.names[n % model_regions]);
    }
    for (auto& it : model.hosts) {
        add_regions(it.routing, model.names);
        update_routing(it.routing, measure(model, it, 0),
                       {it.name, model.names[it.region], model.host_regions}, model.limits, model.now);
    }
    return model;
}

std::array<region_counts, model_regions> run_second(region_model& model, const region_demand& demand) {
    std::array<region_counts, model_regions> ran{};
    region_counts arriving{};
    const double hosts_per_region = static_cast<double>(model.hosts.size()) / model_regions;
    for (auto& it : model.hosts) {
        const region_position position{it.name, model.names[it.region], model.host_regions};
        const double each = demand[it.region] / hosts_per_region / static_cast<double>(model.objects.size());
        for (const auto& object : model.objects) {
            const auto chosen = choose_region(it.routing, position, object, {});
            const auto at = std::lower_bound(model.names.begin(), model.names.end(), chosen);
            const auto region = static_cast<std::size_t>(at - model.names.begin());
            ran[it.region][region] += each;
            arriving[region] += each;
        }
    }
    for (std::size_t n = 0; n < model_regions; ++n) {
        model.used[n] += load_change * (arriving[n] - model.used[n]);
    }
    model.now += region_interval;
    for (auto& it : model.hosts) {
        update_routing(it.routing, measure(model, it, demand[it.region] / hosts_per_region),
                       {it.name, model.names[it.region], model.host_regions}, model.limits, model.now);
    }
    return ran;
}

double changed_fraction(const region_counts& before, const region_counts& after) {
    const double sum_before = std::accumulate(before.begin(), before.end(), 0.0);
    const double sum_after = std::accumulate(after.begin(), after.end(), 0.0);
    double changed = 0;
    for (std::size_t n = 0; n < model_regions; ++n) {
        changed += std::abs(before[n] / sum_before - after[n] / sum_after) / 2;
    }
    return changed;
}

double largest_shift(std::span<const std::array<region_counts, model_regions>> seconds) {
    double largest = 0;
    for (std::size_t callers = 0; callers < model_regions; ++callers) {
        for (std::size_t n = 0; n + 4 <= seconds.size(); ++n) {
            region_counts before{};
            region_counts after{};
            for (std::size_t region = 0; region < model_regions; ++region) {
                before[region] = seconds[n][callers][region] + seconds[n + 1][callers][region];
                after[region] = seconds[n + 2][callers][region] + seconds[n + 3][callers][region];
            }
            largest = std::max(largest, changed_fraction(before, after));
        }
    }
    return largest;
}

} // namespace lycheegap::traffic
