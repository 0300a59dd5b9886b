#include "platform/range_items.h"

#include <initializer_list>
#include <string_view>

#include <doctest/doctest.h>

namespace lycheegap::platform {

namespace {

std::vector<gateway::mirror_item> page_of(std::initializer_list<std::string_view> keys) {
    std::vector<gateway::mirror_item> page;
    for (const auto key : keys) {
        gateway::mirror_item item;
        item.key = key;
        page.push_back(std::move(item));
    }
    return page;
}

} // namespace

TEST_CASE("a range goes on after the last key of a page, and repeated items are kept once") {
    range_items range;
    REQUIRE(add_page(range, page_of({"a", "b&c"})));
    CHECK(range.after == "b&c");
    REQUIRE(add_page(range, page_of({"b", "b&c", "d"})));
    CHECK(range.after == "d");
    CHECK(range.items.size() == 4);
}

// Guards against a read without end, whose memory grows with each page.
TEST_CASE("pages that repeat themselves end the read") {
    range_items range;
    REQUIRE(add_page(range, page_of({"a", "b"})));
    CHECK_FALSE(add_page(range, page_of({"a", "b"})));
    range_items alternating;
    REQUIRE(add_page(alternating, page_of({"a"})));
    REQUIRE(add_page(alternating, page_of({"b"})));
    int pages = 0;
    while (pages < 100 && add_page(alternating, page_of({pages % 2 == 0 ? "a" : "b"}))) {
        ++pages;
    }
    CHECK(pages <= 1);
    CHECK(alternating.items.size() == 2);
}

TEST_CASE("after a key that is not text, a range goes on after the last one that is") {
    range_items range;
    REQUIRE(add_page(range, page_of({"a", "b", "c\xff"})));
    CHECK(range.after == "b");
    // The store repeats the odd item, and its page has no room for another.
    REQUIRE(add_page(range, page_of({"c\xff"})));
    CHECK(range.after == "c\xff");
    REQUIRE(add_page(range, page_of({"d\xed\xa0\x80"})));
    CHECK(range.after == "d\xed\xa0\x80");
    REQUIRE(add_page(range, page_of({"e"})));
    CHECK(range.after == "e");
    CHECK(range.items.size() == 5);
}

} // namespace lycheegap::platform
