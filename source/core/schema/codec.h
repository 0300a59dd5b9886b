#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/last_reason.h"
#include "flatbuffers/flatbuffers.h"

namespace lycheegap::schema {

/// Encoded FlatBuffers message.
using bytes = std::vector<std::byte>;
using byte_view = std::span<const std::byte>;

/// Converts an encoded table to JSON. `type` is the fully qualified table name. Fails when a string is not
/// valid UTF-8.
std::optional<std::string> table_to_json(std::string_view type, const std::uint8_t* buffer);

/// Encodes JSON text as a table of the fully qualified name `type`. Fails on malformed JSON, unknown fields,
/// wrong types and zero bytes; `peer` names the source of the text in the last reason.
std::optional<bytes> parse_json(std::string_view type, std::string_view text, std::string_view peer);

/// Encodes a struct of the FlatBuffers object API.
template <typename Table>
bytes encode(const typename Table::NativeTableType& record) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &record));
    const auto* first = reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
    return {first, first + builder.GetSize()};
}

/// Verifies and decodes a message. Fails when it is malformed; `peer` names the sender in the last reason.
template <typename Table>
std::optional<typename Table::NativeTableType> decode(byte_view encoded, std::string_view peer) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(encoded.data());
    flatbuffers::Verifier verifier(data, encoded.size());
    if (!verifier.template VerifyBuffer<Table>(nullptr)) {
        return common::fail(common::step::decode, peer, "not a valid message");
    }
    typename Table::NativeTableType record;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&record);
    return record;
}

/// Converts a struct of the object API to JSON; "{}" when a string is not valid UTF-8.
template <typename Table>
std::string to_json(const typename Table::NativeTableType& record) {
    const auto encoded = encode<Table>(record);
    const auto* data = reinterpret_cast<const std::uint8_t*>(encoded.data());
    return table_to_json(Table::GetFullyQualifiedName(), data).value_or("{}");
}

/// Parses JSON text into a struct of the object API. Fails as `parse_json` does.
template <typename Table>
std::optional<typename Table::NativeTableType> from_json(std::string_view text, std::string_view peer) {
    const auto encoded = parse_json(Table::GetFullyQualifiedName(), text, peer);
    if (!encoded) {
        return std::nullopt;
    }
    return decode<Table>(*encoded, peer);
}

} // namespace lycheegap::schema
