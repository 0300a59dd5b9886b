#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace lycheegap::benchmarks {

/// One figure of a run. Bounds that are not finite do not count.
struct figure {
    std::string group;
    std::string name;
    double value{0};
    std::string unit;
    double least{-std::numeric_limits<double>::infinity()};
    double most{std::numeric_limits<double>::infinity()};
};

/// Whether the value stands within its bounds; a value that is no number never does.
bool is_within(const figure& it);

/// How a figure stands to its bounds.
enum class verdict : std::uint8_t { unbounded, within, beyond, known_red };

/// Beyond a bound, a figure is known red when `known_red` holds "GROUP FIGURE".
verdict judge(const figure& it, std::span<const std::string> known_red);

/// Names of the lines "bench: GROUP FIGURE | ..." of KNOWN-RED.txt; none when the file is absent.
std::vector<std::string> load_known_red(const std::string& file);

/// A line for each figure, with bounds and verdict where it has bounds.
std::string figure_table(std::span<const figure> figures, std::span<const std::string> known_red);

/// group,name,value,unit,least,most with a heading; a bound that does not count is empty.
std::string figure_csv(std::span<const figure> figures);

/// Value below which `share` of the values lie; sorts them. 0 when there are none.
double percentile(std::vector<double>& values, double share);

/// Processor time of this thread, in s.
double thread_cpu_s();

} // namespace lycheegap::benchmarks
