#include "lycheegapctl/command.h"

#include <doctest/doctest.h>

#include "core/transport/http_message.h"

namespace lycheegap::ctl {

// Guards against names that a query carries as something else.
TEST_CASE("a command asks for the name that it was given") {
    constexpr auto name = "a&kind=team b%41#\xc3\xa9";
    for (const auto* kind : {"template", "team", "service", "key"}) {
        CAPTURE(kind);
        const auto parsed = parse_command({kind, "history", name}, {});
        REQUIRE(parsed);
        CHECK(transport::query_parameter(parsed->query, "name") == name);
    }
}

} // namespace lycheegap::ctl
