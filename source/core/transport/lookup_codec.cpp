#include "lookup_codec.h"

#include <array>
#include <charconv>

#include "core/schema/codec.h"
#include "core/schema/generated/callers_generated.h"

namespace lycheegap::transport {

namespace {

constexpr std::string_view empty_hosts = R"({"hosts": []})";
constexpr std::size_t envelope_bytes = 64;
constexpr std::size_t max_int64_chars = 20;

std::unique_ptr<schema::lookup_host_t> make_host_record(const steering::host_choice& choice) {
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
        answer.hosts.push_back(make_host_record(it));
    }
    const auto text = schema::to_json<schema::lookup_answer>(answer);
    // complete_lookup_answer adds the fields that precede the hosts.
    const auto hosts = text.find("\"hosts\"");
    return hosts == std::string::npos ? std::string(empty_hosts) : "{" + text.substr(hosts);
}

// Concatenates JSON text: encoding through reflection would cost several times the rest of a look-up.
std::string complete_lookup_answer(std::string_view hosts, std::int64_t expires_at_unix_ms,
                                   std::string_view ticket) {
    if (hosts.empty()) {
        hosts = empty_hosts;
    }
    std::array<char, max_int64_chars> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), expires_at_unix_ms).ptr;
    std::string text;
    text.reserve(hosts.size() + ticket.size() + envelope_bytes);
    text.append("{\"expires_at\": ").append(digits.data(), end);
    text.append(",\"ticket\": \"").append(ticket).append("\",").append(hosts.substr(1));
    return text;
}

} // namespace lycheegap::transport
