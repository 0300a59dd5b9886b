#include "core/gateway/mirror_answer.h"

#include <doctest/doctest.h>

#include "core/transport/http_message.h"
#include "fuzz_input.h"

namespace lycheegap::fuzz_tests {

namespace {

using gateway::mirror_query;
using gateway::mirror_update;

constexpr std::size_t value_bytes = 6000;
// The decoder accepts no larger value.
constexpr std::size_t max_value_bytes = 16U << 20U;

mirror_update update_of(std::uint64_t revision, char content, bool is_snapshot) {
    mirror_update made;
    made.revision = revision;
    made.is_snapshot = is_snapshot;
    made.items = {{"large", std::string(value_bytes, content), revision, 0, false},
                  {"small", "s", revision, 3, false},
                  {"gone", "", revision, 0, true}};
    return made;
}

std::string answer_text(const gateway::state_mirror& mirror, const mirror_query& query) {
    auto plan = gateway::plan_answer(mirror, query);
    gateway::compress_values(plan);
    return std::string(transport::as_text(gateway::encode_answer(plan)));
}

} // namespace

TEST_CASE("fuzz: answers of other hosts about the store") {
    gateway::state_mirror mirror;
    gateway::merge_update(mirror, update_of(1, 'a', true));
    gateway::merge_update(mirror, update_of(2, 'b', false));
    const auto asking = mirror;
    const std::vector<std::string> corpus = {
        answer_text(mirror, {.after = 0, .accepts_compressed = true, .held = {}}),
        answer_text(mirror, {.after = 1, .accepts_compressed = true, .held = {{"large", 1}}}),
        answer_text(mirror, {.after = 2, .accepts_compressed = true, .held = {{"large", 2}}}),
    };
    run_fuzz(corpus, "mirror_answers", [&](std::string_view input) {
        const auto lookup = [&](std::string_view key, std::uint64_t revision) {
            return gateway::find_version(asking.history, key, revision);
        };
        const auto update = gateway::decode_mirror_answer(transport::as_bytes(input),
                                                          common::boot_clock::now(), "peer", lookup);
        if (!update) {
            return;
        }
        for (const auto& it : update->items) {
            CHECK(it.value.size() <= max_value_bytes);
        }
        auto merged = asking;
        gateway::merge_update(merged, *update);
        CHECK(merged.revision >= asking.revision);
    });
}

} // namespace lycheegap::fuzz_tests
