#include <doctest/doctest.h>

#include "core/common/log.h"
#include "core/host/host_state.h"
#include "core/host/peer_api.h"
#include "core/host/serve_lookup.h"
#include "core/schema/generated/peer_generated.h"
#include "core/transport/http_message.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

namespace {

/// Starts a host without peers whose store address refuses connections.
std::unique_ptr<host::host_state> start_host_without_store() {
    auto parsed = settings::parse_settings(
        "[host]\nname = host-1\naddress = 127.0.0.1\nregion = vestkyst\n"
        "failure_domain = vestkyst-1\n[callers]\ndrain_time = 0\n[operators]\nsecret = o\n"
        "[peers]\nsecret = p\n[store]\naddress = 127.0.0.1:1\n",
        "lonely.ini");
    REQUIRE(parsed);
    return host::start_host(std::move(*parsed));
}

} // namespace

TEST_CASE("fuzz: messages between hosts") {
    const auto host = start_host_without_store();
    REQUIRE(host);
    run_fuzz("peer_messages", [&](std::string_view input) {
        // The corpus is JSON to keep it readable; it is encoded here as another host would send it. Inputs
        // that are not valid JSON of the schema are passed as they are.
        const auto encoded = schema::parse_json("lycheegap.schema.peer_message", input, "corpus");
        const auto bytes = encoded ? schema::byte_view(*encoded) : transport::as_bytes(input);
        const auto response = host::serve_peer(*host, bytes);
        CHECK(schema::decode<schema::peer_message>(response, "host"));
    });
    host::stop_host(*host);
}

TEST_CASE("fuzz: encoded messages between hosts") {
    const auto host = start_host_without_store();
    REQUIRE(host);
    std::vector<std::string> encoded_corpus;
    for (const auto& it : load_corpus("peer_messages")) {
        const auto encoded = schema::parse_json("lycheegap.schema.peer_message", it, "corpus");
        REQUIRE(encoded);
        encoded_corpus.emplace_back(transport::as_text(*encoded));
    }
    run_fuzz(encoded_corpus, "peer_message_bytes", [&](std::string_view input) {
        const auto response = host::serve_peer(*host, transport::as_bytes(input));
        CHECK(schema::decode<schema::peer_message>(response, "host"));
    });
    host::stop_host(*host);
}

TEST_CASE("fuzz: look-up requests") {
    const auto host = start_host_without_store();
    REQUIRE(host);
    run_fuzz("lookups", [&](std::string_view input) {
        const transport::http_request request{{"GET", "/v1/lookup", std::string(input), {}}, {}, "127.0.0.1"};
        const auto response = host::serve_lookup(*host, request);
        CHECK(response.status < 500);
    });
    host::stop_host(*host);
}

} // namespace lycheegap::fuzz_tests
