#pragma once

#include <optional>
#include <vector>

#include "deployment.h"
#include "report.h"

namespace lycheegap::benchmarks {

/// Runs a deployment as separate processes under its load and stops one host gracefully half-way. Empty when
/// the fleet does not start; `last_reason` says so.
std::optional<std::vector<figure>> run_path_bench(const deployment& config);

} // namespace lycheegap::benchmarks
