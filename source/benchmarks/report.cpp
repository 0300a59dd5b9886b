#include "report.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <fstream>

#include <fmt/format.h>

namespace lycheegap::benchmarks {

namespace {

std::string bound_text(double bound) {
    return std::isfinite(bound) ? fmt::format("{:.4g}", bound) : std::string();
}

bool has_bound(const figure& it) {
    return std::isfinite(it.lower_bound) || std::isfinite(it.upper_bound);
}

std::string_view status_name(bound_status it) {
    switch (it) {
    case bound_status::within:
        return "within";
    case bound_status::out_of_bounds:
        return "BEYOND";
    case bound_status::known_failure:
        return "known red";
    case bound_status::unbounded:
        break;
    }
    return "";
}

constexpr std::string_view known_failure_prefix = "bench: ";

} // namespace

bool is_within_bounds(const figure& it) {
    return it.value >= it.lower_bound && it.value <= it.upper_bound;
}

bound_status check_bounds(const figure& it, std::span<const std::string> known_failures) {
    if (is_within_bounds(it)) {
        return has_bound(it) ? bound_status::within : bound_status::unbounded;
    }
    const auto name = it.group + " " + it.name;
    const bool listed = std::find(known_failures.begin(), known_failures.end(), name) != known_failures.end();
    return listed ? bound_status::known_failure : bound_status::out_of_bounds;
}

std::vector<std::string> load_known_failures(const std::string& file) {
    std::vector<std::string> names;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with(known_failure_prefix)) {
            const auto end = line.find_last_not_of(' ', line.find('|') - 1) + 1;
            names.push_back(line.substr(known_failure_prefix.size(), end - known_failure_prefix.size()));
        }
    }
    return names;
}

std::string figure_table(std::span<const figure> figures, std::span<const std::string> known_failures) {
    auto text = fmt::format("{:<18} {:<44} {:>12} {:<9} {:>8} {:>8}\n", "group", "figure", "value", "unit",
                            "least", "most");
    for (const auto& it : figures) {
        text += fmt::format("{:<18} {:<44} {:>12.4g} {:<9} {:>8} {:>8} {}\n", it.group, it.name, it.value,
                            it.unit, bound_text(it.lower_bound), bound_text(it.upper_bound),
                            status_name(check_bounds(it, known_failures)));
    }
    return text;
}

std::string figure_csv(std::span<const figure> figures) {
    std::string text = "group,name,value,unit,least,most\n";
    for (const auto& it : figures) {
        text += fmt::format("{},{},{},{},{},{}\n", it.group, it.name, it.value, it.unit,
                            bound_text(it.lower_bound), bound_text(it.upper_bound));
    }
    return text;
}

double percentile(std::vector<double>& values, double fraction) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double thread_cpu_s() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

} // namespace lycheegap::benchmarks
