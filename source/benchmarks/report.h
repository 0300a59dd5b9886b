#pragma once

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <vector>

namespace lycheegap::benchmarks {

/// One measured value with its accepted range. An infinite bound does not limit the value.
struct figure {
    std::string group;
    std::string name;
    double value{0};
    std::string unit;
    double lower_bound{-std::numeric_limits<double>::infinity()};
    double upper_bound{std::numeric_limits<double>::infinity()};
};

/// Whether the value lies within both bounds, inclusive; never true for NaN.
bool is_within_bounds(const figure& it);

/// Result of comparing a figure with its bounds. `known_failure`: out of bounds, but listed in KNOWN-RED.txt.
enum class bound_status : std::uint8_t { unbounded, within, out_of_bounds, known_failure };

/// Compares a figure with its bounds. `known_failures` lists figures as "GROUP FIGURE".
bound_status check_bounds(const figure& it, std::span<const std::string> known_failures);

/// The "GROUP FIGURE" part of each line "bench: GROUP FIGURE | ..." of a file such as KNOWN-RED.txt; empty
/// when the file cannot be read.
std::vector<std::string> load_known_failures(const std::string& file);

/// Text table with a heading and a row for each figure; bounds and status are blank for a figure without
/// bounds.
std::string figure_table(std::span<const figure> figures, std::span<const std::string> known_failures);

/// CSV with the heading group,name,value,unit,least,most; an infinite bound is an empty field.
std::string figure_csv(std::span<const figure> figures);

/// The value at rank `fraction` (0 to 1) of the sorted values, without interpolation; 0 when there are none.
/// Sorts `values`.
double percentile(std::vector<double>& values, double fraction);

/// CPU time used by the calling thread, in seconds.
double thread_cpu_s();

} // namespace lycheegap::benchmarks
