#include "core/gateway/message_headers.h"

#include <doctest/doctest.h>

namespace lycheegap::gateway {

namespace {

std::optional<traffic::load_report> parse(std::string_view value) {
    response_message response;
    response.set("Load", beast::string_view(value.data(), value.size()));
    return parse_load_report(response, "Load");
}

} // namespace

TEST_CASE("a load report has two to four figures, of which the last two may be unusable") {
    const auto full = parse("3, 2,9,250");
    REQUIRE(full);
    CHECK(full->running == 3);
    CHECK(full->waiting == 2);
    CHECK(full->slots == 9);
    REQUIRE(full->pace);
    CHECK(*full->pace == doctest::Approx(2.5));
    for (const auto* value : {"3,2", "3,2,", "3,2,x,y", "3,2,-1,0", "3,2,99999999,"}) {
        CAPTURE(value);
        const auto report = parse(value);
        REQUIRE(report);
        CHECK(report->running == 3);
        CHECK(report->slots == 0);
        CHECK_FALSE(report->pace);
    }
    for (const auto* value : {"", "3", "x,2", "-1,2,9", "3,-2"}) {
        CAPTURE(value);
        CHECK_FALSE(parse(value));
    }
}

} // namespace lycheegap::gateway
