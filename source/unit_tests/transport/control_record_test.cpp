#include <doctest/doctest.h>
#include <fmt/format.h>

#include "core/catalog/edit.h"
#include "core/common/digest.h"
#include "core/transport/record_codec.h"

namespace lycheegap::transport {

namespace {

constexpr std::size_t store_value_limit_bytes = 1U << 20U;
// The size that a deployment is expected to reach.
constexpr int team_count = 1000;
constexpr int member_count = 870;

membership::control_state large_state() {
    membership::control_state it;
    it.version = 7;
    auto& configuration = it.configuration;
    configuration = *catalog::apply_edit(configuration, catalog::service{"forecast", {}});
    configuration = *catalog::apply_edit(configuration, catalog::team_template{"school", {}, 1000, 0, 1, 20});
    for (int n = 0; n < team_count; ++n) {
        const auto name = fmt::format("team-{}", n);
        const std::vector<std::string> keys{common::key_digest(name), common::key_digest(name + "b")};
        configuration.teams.insert_or_assign(name, catalog::team{name, "school", keys, 10, 50, {"forecast"}});
    }
    catalog::index_keys(configuration);
    for (int n = 0; n < member_count; ++n) {
        membership::member host;
        host.name = fmt::format("host-{:03}", n);
        host.incarnation = common::stable_hash(host.name);
        host.region = "vestkyst";
        host.failure_domain = "vestkyst-1";
        host.peer_address = host.lookup_address = host.request_address = host.operator_address =
            "10.20.30.40:7001";
        it.members.members.push_back(host);
    }
    it.members.number = member_count;
    return it;
}

} // namespace

TEST_CASE("a control record of 1000 teams and 870 members fits into a value of the store") {
    const auto state = large_state();
    const auto encoded = encode_control(state, 1);
    MESSAGE(team_count, " teams with two keys and ", member_count, " members: ", encoded.size(), " bytes");
    CHECK(encoded.size() < store_value_limit_bytes);
    const auto decoded = decode_control(encoded, "store");
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    CHECK(decoded->members.members.size() == member_count);
    CHECK(decoded->configuration.team_by_digest.size() == 2 * team_count);
    // Two writers of the same state must write different values: after a lost response a writer reads the
    // value back and must not mistake the other's value for its own.
    CHECK(encode_control(state, 2) != encoded);
}

} // namespace lycheegap::transport
