#include <string>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/common/percent_encoding.h"
#include "core/transport/http_message.h"
#include "fuzz_input.h"
#include "platform/decode.h"

namespace lycheegap::fuzz_tests {

namespace {

/// A page whose second item has the given JSON text as its key.
std::string page_with_key(std::string_view key_text) {
    return fmt::format(R"({{"items":[{{"key":"first","value":"YQ==","revision":1}},)"
                       R"({{"key":{},"value":"Yg==","revision":2}},)"
                       R"({{"key":"last","revision":3,"tombstone":true}}],"has_more":true,"at_rev":3}})",
                       key_text);
}

/// The bytes as a string with only those escapes without which it would end elsewhere.
std::string quoted(std::string_view bytes) {
    std::string text = "\"";
    for (const char c : bytes) {
        text += c == '"' || c == '\\' ? std::string{'\\', c} : std::string{c};
    }
    return text + '"';
}

} // namespace

TEST_CASE("fuzz: keys of the store") {
    run_fuzz("store_keys", [](std::string_view input) {
        const auto page = platform::decode_page(page_with_key(quoted(input)));
        REQUIRE(page);
        REQUIRE(page->items.size() == 3);
        CHECK(page->items[0].key == "first");
        CHECK(page->items[1].key == input);
        CHECK(page->items[1].value == "b");
        CHECK(page->items[2].removed);
        const auto query = "prefix=&after=" + common::percent_encode(input);
        CHECK(common::is_valid_query(query));
        CHECK(transport::query_parameter(query, "after") == input);
    });
}

TEST_CASE("fuzz: pages of the store") {
    run_fuzz("store_pages", [](std::string_view input) {
        const auto page = platform::decode_page(input);
        const auto items = platform::decode_items(input);
        CHECK((!page || page->items.size() <= input.size()));
        CHECK((!items || items->size() <= input.size()));
    });
}

} // namespace lycheegap::fuzz_tests
