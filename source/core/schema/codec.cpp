#include "codec.h"

#include <memory>

#include "flatbuffers/idl.h"
#include "generated/all_bfbs_generated.h"

namespace lycheegap::schema {

namespace {

std::unique_ptr<flatbuffers::Parser> make_parser() {
    flatbuffers::IDLOptions options;
    options.strict_json = true;
    options.output_default_scalars_in_json = true;
    options.indent_step = -1;
    auto parser = std::make_unique<flatbuffers::Parser>(options);
    parser->Deserialize(schema_rootBinarySchema::data(), schema_rootBinarySchema::size());
    return parser;
}

// Loading the reflection data costs more than a conversion, so each thread keeps its parser.
flatbuffers::Parser& parser_for(std::string_view type) {
    thread_local const auto parser = make_parser();
    parser->SetRootType(std::string(type).c_str());
    return *parser;
}

// The parser's error text has a line break between the position and the message; log lines and answers need
// one line.
std::string replace_line_breaks(std::string text) {
    for (auto& it : text) {
        if (it == '\n') {
            it = ' ';
        }
    }
    return text;
}

} // namespace

std::optional<std::string> table_to_json(std::string_view type, const std::uint8_t* buffer) {
    std::string text;
    if (!flatbuffers::GenerateText(parser_for(type), buffer, &text)) {
        return common::fail(common::step::encode, type, "not valid UTF-8");
    }
    return text;
}

std::optional<bytes> parse_json(std::string_view type, std::string_view text, std::string_view peer) {
    auto& parser = parser_for(type);
    const std::string terminated(text);
    if (terminated.find('\0') != std::string::npos) {
        return common::fail(common::step::decode, peer, "JSON holds a zero byte");
    }
    if (!parser.ParseJson(terminated.c_str())) {
        return common::fail(common::step::decode, peer, replace_line_breaks(parser.error_));
    }
    const auto* data = reinterpret_cast<const std::byte*>(parser.builder_.GetBufferPointer());
    return bytes(data, data + parser.builder_.GetSize());
}

} // namespace lycheegap::schema
