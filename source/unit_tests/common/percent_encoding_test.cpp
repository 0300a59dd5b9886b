#include "core/common/percent_encoding.h"

#include <string>

#include <doctest/doctest.h>

#include "core/transport/http_message.h"

namespace lycheegap::common {

TEST_CASE("every byte comes through a query as it was") {
    std::string all;
    for (int byte = 0; byte < 256; ++byte) {
        all += static_cast<char>(byte);
    }
    const auto query = "prefix=a&after=" + percent_encode(all) + "&wait_ms=1";
    CHECK(is_valid_query(query));
    CHECK(transport::query_parameter(query, "after") == all);
    CHECK(transport::query_parameter(query, "wait_ms") == "1");
    CHECK(percent_encode("a-b_c.d~e/f", "/") == "a-b_c.d~e/f");
    CHECK(percent_encode("a/b c") == "a%2Fb%20c");
}

TEST_CASE("a query is valid only with the characters that it may have and complete escapes") {
    for (const auto* query : {"", "a=b&c=d", "key=servers/a:b", "a=%2F%2f", "a='(*)!'"}) {
        CAPTURE(query);
        CHECK(is_valid_query(query));
    }
    for (const auto* query :
         {"a=b c", "a=#", "a=%", "a=%4", "a=%zz", "a=\x01", "a=\x7f", "a=\xc3\xa9", "a=\"b"}) {
        CAPTURE(query);
        CHECK_FALSE(is_valid_query(query));
    }
}

TEST_CASE("invalid escapes stay as they are, and a plus is a blank only in a query") {
    CHECK(percent_decode("%zz%4%") == "%zz%4%");
    CHECK(percent_decode("a+b%2B") == "a+b+");
    CHECK(transport::query_parameter("zone=a+b%2Bc", "zone") == "a b+c");
}

} // namespace lycheegap::common
