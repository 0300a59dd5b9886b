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

/// A host whose store gives no answer.
std::unique_ptr<host::host_state> start_lonely_host() {
    auto parsed = settings::parse_settings("[host]\nname = host-1\naddress = 127.0.0.1\nregion = vestkyst\n"
                                           "failure_domain = vestkyst-1\n[operators]\nsecret = o\n"
                                           "[peers]\nsecret = p\n[store]\naddress = 127.0.0.1:1\n",
                                           "lonely.ini");
    REQUIRE(parsed);
    return host::start_host(std::move(*parsed));
}

} // namespace

TEST_CASE("fuzz: messages between hosts") {
    const auto host = start_lonely_host();
    REQUIRE(host);
    run_fuzz("peer_messages", [&](std::string_view input) {
        // The corpus is JSON, so that it can be read; its bytes are what another host would send.
        const auto encoded = schema::parse_json("lycheegap.schema.peer_message", input, "corpus");
        const auto bytes = encoded ? schema::byte_view(*encoded) : transport::as_bytes(input);
        const auto answer = host::serve_peer(*host, bytes);
        CHECK(schema::decode<schema::peer_message>(answer, "host"));
    });
    host::stop_host(*host);
}

TEST_CASE("fuzz: mutated bytes of messages between hosts") {
    const auto host = start_lonely_host();
    REQUIRE(host);
    std::vector<std::string> encoded_corpus;
    for (const auto& it : load_corpus("peer_messages")) {
        const auto encoded = schema::parse_json("lycheegap.schema.peer_message", it, "corpus");
        REQUIRE(encoded);
        encoded_corpus.emplace_back(transport::as_text(*encoded));
    }
    run_fuzz(encoded_corpus, "peer_message_bytes", [&](std::string_view input) {
        const auto answer = host::serve_peer(*host, transport::as_bytes(input));
        CHECK(schema::decode<schema::peer_message>(answer, "host"));
    });
    host::stop_host(*host);
}

TEST_CASE("fuzz: whole look-ups") {
    const auto host = start_lonely_host();
    REQUIRE(host);
    run_fuzz("lookups", [&](std::string_view input) {
        const transport::http_request request{{"GET", "/v1/lookup", std::string(input), {}}, {}, "127.0.0.1"};
        const auto answer = host::serve_lookup(*host, request);
        CHECK(answer.status < 500);
    });
    host::stop_host(*host);
}

} // namespace lycheegap::fuzz_tests
