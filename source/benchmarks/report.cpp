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
    return std::isfinite(it.least) || std::isfinite(it.most);
}

std::string_view verdict_name(verdict it) {
    switch (it) {
    case verdict::within:
        return "within";
    case verdict::beyond:
        return "BEYOND";
    case verdict::known_red:
        return "known red";
    case verdict::unbounded:
        break;
    }
    return "";
}

constexpr std::string_view known_red_prefix = "bench: ";

} // namespace

bool is_within(const figure& it) {
    return it.value >= it.least && it.value <= it.most;
}

verdict judge(const figure& it, std::span<const std::string> known_red) {
    if (is_within(it)) {
        return has_bound(it) ? verdict::within : verdict::unbounded;
    }
    const auto name = it.group + " " + it.name;
    const bool listed = std::find(known_red.begin(), known_red.end(), name) != known_red.end();
    return listed ? verdict::known_red : verdict::beyond;
}

std::vector<std::string> load_known_red(const std::string& file) {
    std::vector<std::string> names;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        if (line.starts_with(known_red_prefix)) {
            const auto end = line.find_last_not_of(' ', line.find('|') - 1) + 1;
            names.push_back(line.substr(known_red_prefix.size(), end - known_red_prefix.size()));
        }
    }
    return names;
}

std::string figure_table(std::span<const figure> figures, std::span<const std::string> known_red) {
    auto text = fmt::format("{:<18} {:<44} {:>12} {:<9} {:>8} {:>8}\n", "group", "figure", "value", "unit",
                            "least", "most");
    for (const auto& it : figures) {
        text += fmt::format("{:<18} {:<44} {:>12.4g} {:<9} {:>8} {:>8} {}\n", it.group, it.name, it.value,
                            it.unit, bound_text(it.least), bound_text(it.most),
                            verdict_name(judge(it, known_red)));
    }
    return text;
}

std::string figure_csv(std::span<const figure> figures) {
    std::string text = "group,name,value,unit,least,most\n";
    for (const auto& it : figures) {
        text += fmt::format("{},{},{},{},{},{}\n", it.group, it.name, it.value, it.unit, bound_text(it.least),
                            bound_text(it.most));
    }
    return text;
}

double percentile(std::vector<double>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double thread_cpu_s() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

} // namespace lycheegap::benchmarks
