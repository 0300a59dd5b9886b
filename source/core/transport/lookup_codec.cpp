#include "lookup_codec.h"

#include <array>
#include <charconv>

#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"

namespace lycheegap::transport {

namespace {

constexpr std::string_view no_hosts = R"({"hosts": []})";
constexpr std::size_t fixed_text_bytes = 64;
constexpr std::size_t digits_of_int64 = 20;

std::unique_ptr<schema::lookup_host_t> make_host(const steering::host_choice& choice) {
    auto record = std::make_unique<schema::lookup_host_t>();
    record->name = choice.chosen->name;
    record->address = choice.chosen->request_address;
    record->region = choice.chosen->region;
    record->weight = choice.weight;
    return record;
}

} // namespace

std::string encode_lookup_hosts(std::span<const steering::host_choice> choices) {
    schema::lookup_answer_t answer;
    for (const auto& it : choices) {
        answer.hosts.push_back(make_host(it));
    }
    const auto text = schema::to_json<schema::lookup_answer>(answer);
    // The fields before the hosts are written anew for each answer.
    const auto hosts = text.find("\"hosts\"");
    return hosts == std::string::npos ? std::string(no_hosts) : "{" + text.substr(hosts);
}

// The reflection data would cost several times the rest of a look-up.
std::string complete_lookup_answer(std::string_view hosts, std::int64_t expires_at_unix_ms,
                                   std::string_view ticket) {
    if (hosts.empty()) {
        hosts = no_hosts;
    }
    std::array<char, digits_of_int64> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), expires_at_unix_ms).ptr;
    std::string text;
    text.reserve(hosts.size() + ticket.size() + fixed_text_bytes);
    text.append("{\"expires_at\": ").append(digits.data(), end);
    text.append(",\"ticket\": \"").append(ticket).append("\",").append(hosts.substr(1));
    return text;
}

} // namespace lycheegap::transport
