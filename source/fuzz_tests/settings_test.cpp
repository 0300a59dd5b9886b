#include <doctest/doctest.h>

#include "core/common/last_reason.h"
#include "core/settings/ini_settings.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

TEST_CASE("fuzz: settings") {
    run_fuzz("settings", [](std::string_view input) {
        const auto parsed = settings::parse_settings(input, "fuzz.ini");
        if (!parsed) {
            CHECK_FALSE(common::last_reason().text.empty());
            return;
        }
        CHECK_FALSE(parsed->host->name.empty());
        CHECK_FALSE(parsed->operators->secret.empty());
        CHECK_FALSE(parsed->peers->secret.empty());
        CHECK(parsed->authority->length >= 200);
        CHECK(parsed->process->workers >= 1);
    });
}

} // namespace lycheegap::fuzz_tests
