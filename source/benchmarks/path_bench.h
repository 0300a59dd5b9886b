#pragma once

#include <optional>
#include <vector>

#include "deployment.h"
#include "report.h"

namespace lycheegap::benchmarks {

/// Runs a deployment in separate processes under its load; half way one host is stopped as planned. Empty
/// when the fleet does not start.
std::optional<std::vector<figure>> run_path_bench(const deployment& where);

} // namespace lycheegap::benchmarks
