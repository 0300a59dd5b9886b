#pragma once

#include <functional>
#include <vector>

#include "core/catalog/catalog.h"
#include "core/membership/generation.h"
#include "report.h"

namespace lycheegap::benchmarks {

/// `hosts` members in `regions` regions with two failure domains each.
membership::generation make_generation(int hosts, int regions);

/// A configuration of `teams` teams with one key each and one service of `endpoints` endpoints.
catalog::configuration make_configuration(int teams, int endpoints);

/// Processor time of one call in µs: the least of several rounds, which a busy machine upsets least.
double cost_us(const std::function<void()>& call);

/// Costs of the decisions, and their ratios to the digest of a key in the same run.
std::vector<figure> run_decision_bench();

} // namespace lycheegap::benchmarks
