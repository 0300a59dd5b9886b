#include <cmath>

#include <doctest/doctest.h>

#include "core/schema/codec.h"
#include "core/transport/http_message.h"
#include "core/transport/record_codec.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

namespace {

bool has_valid_limits(const catalog::configuration& configuration, const catalog::team& it) {
    return !it.name.empty() && std::isfinite(it.rate) && std::isfinite(it.burst) && it.rate >= 0 &&
           it.burst >= 1 && configuration.templates.contains(it.template_name);
}

bool has_valid_limits(const catalog::team_template& it) {
    return !it.name.empty() && it.request_timeout_ms > 0 && it.attempt_limit >= 1;
}

/// Checks the guarantees of a valid configuration that every host relies on.
void check_limits(const catalog::configuration& configuration) {
    for (const auto& [name, it] : configuration.teams) {
        CHECK(has_valid_limits(configuration, it));
    }
    for (const auto& [name, it] : configuration.templates) {
        CHECK(has_valid_limits(it));
    }
}

/// A record must either be rejected with a reason or give a valid configuration.
void check_record(const std::optional<schema::catalog_record_t>& record) {
    const auto parsed = record ? transport::parse_configuration(*record) : std::nullopt;
    if (!parsed) {
        CHECK_FALSE(common::last_reason().text.empty());
        return;
    }
    check_limits(*parsed);
}

catalog::configuration sample_configuration() {
    catalog::configuration sample;
    sample.revision = 7;
    sample.services["forecast"] = {"forecast", {{"worker-1", "127.0.0.1:80", "vestkyst", "vestkyst-1", 4}}};
    sample.templates["school"] = {
        "school", {{"GET", "/forecast", "forecast", catalog::work_class::interactive, false}},
        10'000,   2000,
        3,        20};
    sample.teams["kite"] = {"kite", "school", {std::string(64, 'a')}, 50, 10, {"forecast"}};
    catalog::index_keys(sample);
    return sample;
}

} // namespace

TEST_CASE("fuzz: operator edits") {
    const auto sample = sample_configuration();
    REQUIRE(catalog::is_valid(sample));
    run_fuzz("edits", [&](std::string_view input) {
        const auto request = schema::from_json<schema::edit_request>(input, "operator");
        const auto change = request ? transport::parse_edit(*request) : std::nullopt;
        const auto next = change ? catalog::apply_edit(sample, *change) : std::nullopt;
        if (!next) {
            CHECK_FALSE(common::last_reason().text.empty());
            return;
        }
        check_limits(*next);
        // An accepted configuration must still be valid after encoding and decoding, as hosts read it from
        // the store.
        const auto encoded = schema::encode<schema::catalog_record>(transport::make_record(*next));
        const auto decoded = schema::decode<schema::catalog_record>(encoded, "store");
        REQUIRE(decoded);
        CHECK(transport::parse_configuration(*decoded));
    });
}

TEST_CASE("fuzz: encoded catalog records") {
    std::vector<std::string> encoded_corpus;
    for (const auto& it : load_corpus("catalogs")) {
        const auto encoded = schema::parse_json("lycheegap.schema.catalog_record", it, "corpus");
        REQUIRE(encoded);
        encoded_corpus.emplace_back(transport::as_text(*encoded));
    }
    run_fuzz(encoded_corpus, "catalogs", [](std::string_view input) {
        check_record(schema::decode<schema::catalog_record>(transport::as_bytes(input), "store"));
    });
}

TEST_CASE("fuzz: catalog records from JSON") {
    run_fuzz("catalogs", [](std::string_view input) {
        check_record(schema::from_json<schema::catalog_record>(input, "store"));
    });
}

TEST_CASE("fuzz: encoded control records") {
    std::vector<std::string> encoded_corpus;
    for (const auto& it : load_corpus("controls")) {
        const auto encoded = schema::parse_json("lycheegap.schema.control_record", it, "corpus");
        REQUIRE(encoded);
        encoded_corpus.emplace_back(transport::as_text(*encoded));
    }
    run_fuzz(encoded_corpus, "controls", [](std::string_view input) {
        const auto parsed = transport::decode_control(transport::as_bytes(input), "store");
        if (!parsed) {
            CHECK_FALSE(common::last_reason().text.empty());
            return;
        }
        check_limits(parsed->configuration);
    });
}

} // namespace lycheegap::fuzz_tests
