#include <algorithm>

#include <doctest/doctest.h>

#include "core/common/last_reason.h"
#include "core/execution/caller_key.h"
#include "core/transport/http_message.h"
#include "core/transport/listen_socket.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

namespace {

/// Parses an input of the form of an HTTP/1.1 head: a line "METHOD PATH?QUERY", then one header per line.
/// Lines without a colon are skipped.
execution::request_head parse_head(std::string_view input) {
    execution::request_head head;
    auto line = input.substr(0, input.find('\n'));
    const auto space = std::min(line.find(' '), line.size());
    head.method = line.substr(0, space);
    line.remove_prefix(std::min(space + 1, line.size()));
    const auto question_mark = line.find('?');
    head.path = line.substr(0, question_mark);
    head.query = question_mark == std::string_view::npos ? "" : line.substr(question_mark + 1);
    while (input.find('\n') != std::string_view::npos) {
        input.remove_prefix(input.find('\n') + 1);
        line = input.substr(0, input.find('\n'));
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            head.headers.push_back({std::string(line.substr(0, colon)), std::string(line.substr(colon + 1))});
        }
    }
    return head;
}

/// -1 when the character is not a hexadecimal digit.
int hex_digit_value(char it) {
    const auto lower = it | 0x20;
    return it >= '0' && it <= '9' ? it - '0' : lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Leaves incomplete or invalid escapes as they are.
std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool is_escape = text[n] == '%' && n + 2 < text.size() && hex_digit_value(text[n + 1]) >= 0 &&
                               hex_digit_value(text[n + 2]) >= 0;
        decoded += is_escape
                       ? static_cast<char>(hex_digit_value(text[n + 1]) * 16 + hex_digit_value(text[n + 2]))
                       : text[n];
        n += is_escape ? 2 : 0;
    }
    return decoded;
}

/// Whether a list such as "a=1&b=2" contains the name, also percent-encoded. An independent, simple
/// implementation to check `extract_key` against.
bool contains_name(std::string_view list, char separator, std::string_view name) {
    while (true) {
        const auto end = list.find(separator);
        auto part = list.substr(0, end);
        part.remove_prefix(std::min(part.find_first_not_of(" \t"), part.size()));
        auto found = percent_decode(part.substr(0, part.find('=')));
        found.erase(found.find_last_not_of(" \t") + 1);
        if (found == name) {
            return true;
        }
        if (end == std::string_view::npos) {
            return false;
        }
        list.remove_prefix(end + 1);
    }
}

/// Value after `assignment`, such as "a=", decoded as in a form. An independent implementation to check
/// `query_parameter` against.
std::string decoded_parameter(std::string_view query, std::string_view assignment) {
    const auto text = "&" + std::string(query);
    const auto at = text.find("&" + std::string(assignment));
    if (at == std::string::npos) {
        return {};
    }
    auto value = text.substr(at + 1 + assignment.size());
    value.resize(std::min(value.find('&'), value.size()));
    std::replace(value.begin(), value.end(), '+', ' ');
    return percent_decode(value);
}

} // namespace

TEST_CASE("fuzz: extract_key leaves no key in a request head") {
    run_fuzz("heads", [](std::string_view input) {
        auto head = parse_head(input);
        const auto original = head;
        const auto key = execution::extract_key(head);
        for (const auto& it : head.headers) {
            CHECK_FALSE(execution::equals_ignoring_case(it.name, execution::key_header));
            const bool is_cookie = execution::equals_ignoring_case(it.name, "cookie");
            CHECK_FALSE((is_cookie && contains_name(it.value, ';', execution::key_cookie)));
        }
        CHECK_FALSE(contains_name(head.query, '&', execution::key_parameter));
        if (!key) {
            CHECK(head.query == original.query);
            CHECK(head.headers.size() == original.headers.size());
        }
        CHECK(head.path == original.path);
    });
}

TEST_CASE("fuzz: look-up queries") {
    run_fuzz("lookups", [](std::string_view input) {
        const auto region = transport::query_parameter(input, "region");
        CHECK(region == decoded_parameter(input, "region="));
        transport::parse_uint_or(region, 0);
    });
}

TEST_CASE("fuzz: addresses") {
    run_fuzz("addresses", [](std::string_view input) {
        const auto parsed = transport::split_address(input);
        if (!parsed) {
            CHECK_FALSE(common::last_reason().text.empty());
            return;
        }
        CHECK(parsed->port >= 0);
        CHECK(parsed->port <= 65'535);
        const auto reparsed = transport::split_address(transport::join_address(parsed->ip, parsed->port));
        REQUIRE(reparsed);
        CHECK(reparsed->ip == parsed->ip);
        CHECK(reparsed->port == parsed->port);
    });
}

} // namespace lycheegap::fuzz_tests
