#include "core/common/metrics.h"

#include <map>
#include <regex>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

namespace lycheegap::common {

namespace {

/// Parses the text exposition format into samples by name with labels. Empty when a line is malformed or a
/// type or sample occurs twice.
std::map<std::string, double> parse_exposition(const std::string& text) {
    static const std::regex type_line(
        "# TYPE ([a-zA-Z_:][a-zA-Z0-9_:]*) (counter|gauge|summary|histogram|untyped)");
    static const std::regex sample_line("([a-zA-Z_:][a-zA-Z0-9_:]*)(\\{[a-z_]+=\"[^\"]*\"\\})? "
                                        "(-?[0-9.]+(?:e[+-]?[0-9]+)?|NaN|[+-]Inf)");
    std::map<std::string, double> samples;
    std::set<std::string> types;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        std::smatch found;
        if (std::regex_match(line, found, type_line)) {
            if (!types.insert(found[1]).second) {
                return {};
            }
            continue;
        }
        if (!std::regex_match(line, found, sample_line) ||
            !samples.emplace(found[1].str() + found[2].str(), std::stod(found[3])).second) {
            return {};
        }
    }
    return text.empty() || text.back() == '\n' ? samples : std::map<std::string, double>();
}

} // namespace

TEST_CASE("the metrics text is valid in the exposition format") {
    metrics_table table;
    count(table, "lookups", 3);
    count(table, "refused_rate");
    for (const double value : {1e-7, 2.5, 3e9}) {
        measure(table, "request_ms", value);
    }
    const auto samples = parse_exposition(exposition_text(read_metrics(table)));
    REQUIRE(samples.size() == 5);
    CHECK(samples.at("lycheegap_lookups") == 3);
    CHECK(samples.at("lycheegap_request_ms_count") == 3);
    CHECK(samples.at("lycheegap_request_ms_sum") == doctest::Approx(3e9));
    CHECK(samples.contains("lycheegap_request_ms{quantile=\"0.99\"}"));
}

TEST_CASE("NaN and infinite values are valid in the exposition format") {
    metrics_table table;
    measure(table, "odd_ms", std::numeric_limits<double>::quiet_NaN());
    measure(table, "huge_ms", std::numeric_limits<double>::infinity());
    CHECK(parse_exposition(exposition_text(read_metrics(table))).size() == 6);
}

} // namespace lycheegap::common
