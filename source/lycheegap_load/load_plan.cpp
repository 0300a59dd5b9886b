#include "load_plan.h"

#include <random>

namespace lycheegap::load {

std::vector<common::time_point> plan_arrivals(const load_plan& plan, common::time_point start) {
    std::vector<common::time_point> arrivals;
    std::mt19937_64 random(plan.seed);
    std::exponential_distribution<double> gap_s(plan.rate);
    for (double at_s = gap_s(random); at_s < plan.seconds; at_s += gap_s(random)) {
        const std::chrono::duration<double> offset(at_s);
        arrivals.push_back(start + std::chrono::duration_cast<common::monotonic::duration>(offset));
    }
    return arrivals;
}

} // namespace lycheegap::load
