#pragma once

#include <functional>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/membership/generation.h"
#include "report.h"

namespace lycheegap::benchmarks {

/// A membership generation of `hosts` members, spread over `regions` regions with two failure domains each.
membership::generation make_generation(int hosts, int regions);

/// A catalog configuration of `teams` teams with one key each, and one service with `endpoints` endpoints.
catalog::configuration make_configuration(int teams, int endpoints);

/// CPU time of one call in µs: the minimum over several rounds, which other load on the machine distorts the
/// least.
double cpu_time_us(const std::function<void()>& call);

/// CPU time of each decision function, and how that of three of them grows with the number of hosts or teams.
std::vector<figure> run_decision_bench();

} // namespace lycheegap::benchmarks
