#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lycheegap::benchmarks {

/// A deployment scaled down to one machine, and the load that the benchmark puts on it. The fields are named
/// after the keys of the INI file.
struct deployment {
    std::string name;
    std::vector<std::string> failure_domains;
    int hosts{0};
    int endpoints{0};
    /// Requests that an endpoint runs at once.
    int slots{0};
    /// Time that an endpoint takes for a request.
    int service_ms{0};
    /// One-way network delays between failure domains of one region, and between regions.
    int domain_delay_ms{0};
    int region_delay_ms{0};
    /// Teams that send less than their rate; one additional team sends `surge` times its rate.
    int teams{0};
    /// Token bucket of each team: requests per second, and capacity in requests.
    double rate{0};
    double burst{0};
    double surge{0};
    /// Fraction of its rate that each of the `teams` sends.
    double inside_share{0};
    /// Length of the load.
    double seconds{0};
};

/// Reads the sections [deployment] and [load] of an INI file. Empty on failure; `last_reason` names the file
/// and the key.
std::optional<deployment> load_deployment(const std::string& file);

/// Name of the region of a failure domain: the domain's name up to the last hyphen.
std::string region_of(const std::string& failure_domain);

} // namespace lycheegap::benchmarks
