#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lycheegap::benchmarks {

/// One deployment, scaled to one machine, and the load on it.
struct deployment {
    std::string name;
    std::vector<std::string> failure_domains;
    int hosts{0};
    int endpoints{0};
    int slots{0};
    int service_ms{0};
    /// One way, between failure domains of one region and between regions.
    int domain_delay_ms{0};
    int region_delay_ms{0};
    /// Teams that stay inside their rate; one more sends `surge` times its rate.
    int teams{0};
    /// Requests a second and requests.
    double rate{0};
    double burst{0};
    double surge{0};
    /// Share of its rate that a team inside it sends.
    double inside_share{0};
    double seconds{0};
};

/// Reads [deployment] and [load] of an INI file; the reason names file and key.
std::optional<deployment> load_deployment(const std::string& file);

/// Region of a failure domain: its name up to the last hyphen.
std::string region_of(const std::string& failure_domain);

} // namespace lycheegap::benchmarks
