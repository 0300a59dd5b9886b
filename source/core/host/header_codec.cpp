#include "header_codec.h"

namespace lycheegap::host {

std::vector<std::unique_ptr<schema::header_record_t>>
make_headers(const std::vector<execution::header>& source) {
    std::vector<std::unique_ptr<schema::header_record_t>> records;
    for (const auto& it : source) {
        auto record = std::make_unique<schema::header_record_t>();
        record->name = it.name;
        record->value = it.value;
        records.push_back(std::move(record));
    }
    return records;
}

std::vector<execution::header>
parse_headers(const std::vector<std::unique_ptr<schema::header_record_t>>& records) {
    std::vector<execution::header> headers;
    for (const auto& it : records) {
        headers.push_back({it->name, it->value});
    }
    return headers;
}

std::vector<std::uint8_t> to_octets(std::string_view text) {
    return {text.begin(), text.end()};
}

std::string_view to_text(const std::vector<std::uint8_t>& octets) {
    return {reinterpret_cast<const char*>(octets.data()), octets.size()};
}

} // namespace lycheegap::host
