#include <doctest/doctest.h>

#include "core/common/last_reason.h"
#include "core/settings/ini_settings.h"

namespace lycheegap::settings {

namespace {

const std::string valid_settings =
    "[host]\nname = h\naddress = 127.0.0.1\nregion = r\nfailure_domain = r-1\n"
    "[operators]\nsecret = a\n[peers]\nsecret = b\n[store]\naddress = 127.0.0.1:1\n";

std::string rejection_reason(const std::string& text) {
    CHECK_FALSE(parse_settings(text, "f.ini"));
    return common::describe_reason(common::last_reason());
}

} // namespace

TEST_CASE("defaults come from the schema") {
    const auto parsed = parse_settings(valid_settings, "f.ini");
    REQUIRE(parsed);
    CHECK(parsed->host->name == "h");
    CHECK(parsed->callers->request_workers == 128);
    CHECK(parsed->process->log_level == "info");
}

TEST_CASE("settings errors name file, section and key") {
    CHECK(rejection_reason(valid_settings + "[callers]\nx = 1\n") ==
          "step check_settings at 'f.ini: [callers] x': unknown key");
    CHECK(rejection_reason(valid_settings + "[colours]\nx = 1\n") ==
          "step check_settings at 'f.ini: [colours] ': unknown section");
    CHECK(rejection_reason(valid_settings + "[callers]\nlookup_port = -1\n") ==
          "step check_settings at 'f.ini: [callers] lookup_port': -1 is outside 0 to 65535");
    CHECK(rejection_reason(valid_settings + "[callers]\nlookup_port = 1x\n") ==
          "step check_settings at 'f.ini: [callers] lookup_port': '1x' is not a whole number");
    CHECK(rejection_reason("[host]\nname = h\n") ==
          "step check_settings at 'f.ini: [host] address': needed key is missing");
    CHECK(rejection_reason("x = 1\n" + valid_settings) ==
          "step check_settings at 'f.ini: [] x': key outside a section");
    CHECK(rejection_reason("[host\n").find("step read_settings at 'f.ini': line 1") == 0);
}

TEST_CASE("the settings reference lists the sections with their keys and ranges") {
    const auto page = settings_reference();
    CHECK(page.find("## [authority]") != std::string::npos);
    CHECK(page.find("| `length` | 3000 | 200 to 60000 | ms |") != std::string::npos);
}

} // namespace lycheegap::settings
