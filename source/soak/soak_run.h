#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak_checks.h"
#include "soak_plan.h"

namespace lycheegap::soak {

/// Outcome of one seed.
struct soak_result {
    /// False when the processes did not start; only `faults` is set then.
    bool started{false};
    std::vector<planned_fault> faults;
    std::vector<finding> findings;
    std::size_t calls{0};
    /// Number of calls by response status; status 0 counts calls without a complete response.
    std::map<int, std::size_t> calls_by_status;
    /// Folder with the logs of all processes; removed when there are no findings.
    std::string folder;
};

/// Runs one seed: load with injected faults, then load without faults, in which the fleet must recover.
soak_result run_soak(std::uint64_t seed, const soak_size& size);

} // namespace lycheegap::soak
