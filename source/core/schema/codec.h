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

/// An encoded message.
using bytes = std::vector<std::byte>;
using byte_view = std::span<const std::byte>;

/// JSON of an encoded table whose full type name is `type`. Empty when the table holds invalid UTF-8.
std::optional<std::string> json_of(std::string_view type, const std::uint8_t* buffer);

/// Encoded table of JSON text; unknown fields and wrong types are errors. `peer` goes into the reason.
std::optional<bytes> parse_json(std::string_view type, std::string_view text, std::string_view peer);

/// Encodes a plain struct of the object API.
template <typename Table>
bytes encode(const typename Table::NativeTableType& record) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &record));
    const auto* first = reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
    return {first, first + builder.GetSize()};
}

/// Verifies and decodes bytes that came from `peer`.
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

/// JSON of a plain struct.
template <typename Table>
std::string to_json(const typename Table::NativeTableType& record) {
    const auto encoded = encode<Table>(record);
    const auto* data = reinterpret_cast<const std::uint8_t*>(encoded.data());
    return json_of(Table::GetFullyQualifiedName(), data).value_or("{}");
}

/// Plain struct of JSON text that came from `peer`.
template <typename Table>
std::optional<typename Table::NativeTableType> from_json(std::string_view text, std::string_view peer) {
    const auto encoded = parse_json(Table::GetFullyQualifiedName(), text, peer);
    if (!encoded) {
        return std::nullopt;
    }
    return decode<Table>(*encoded, peer);
}

} // namespace lycheegap::schema
