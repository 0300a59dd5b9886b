#include "fuzz_input.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <doctest/doctest.h>

#include "core/transport/http_message.h"

namespace lycheegap::fuzz_tests {

namespace {

constexpr std::uint64_t default_run_count = 20'000;
constexpr std::uint64_t default_seed = 1;
constexpr std::size_t max_input_bytes = 4096;

/// Fragments that parsers often mishandle: numbers out of range, incomplete JSON, invalid UTF-8, percent
/// encodings, key parameters and separators.
constexpr std::array<std::string_view, 30> tokens = {"null",
                                                     "nan",
                                                     "inf",
                                                     "-1",
                                                     "0",
                                                     "1e309",
                                                     "-0.0",
                                                     "18446744073709551616",
                                                     "-9223372036854775809",
                                                     "[]",
                                                     "{}",
                                                     "[[",
                                                     "\"",
                                                     "\\",
                                                     "\\u0000",
                                                     "\xff",
                                                     "\xc3\x28",
                                                     "%",
                                                     "%00",
                                                     "%5F",
                                                     "%5f",
                                                     "&",
                                                     "=",
                                                     ";",
                                                     "team_key=",
                                                     "team%5fkey=",
                                                     "\r\n",
                                                     ":",
                                                     "65536",
                                                     "\n["};

/// Value of an environment variable, or `default_value` when it is unset or not a number.
std::uint64_t number_from_environment(const char* variable, std::uint64_t default_value) {
    const auto* text = std::getenv(variable);
    return text == nullptr ? default_value : transport::parse_uint_or(text, default_value);
}

/// A random number from 0 to `limit` - 1.
std::size_t random_below(std::size_t limit, random_engine& random) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
}

/// A random substring, which may be empty.
std::string_view random_part(std::string_view text, random_engine& random) {
    const auto first = random_below(text.size() + 1, random);
    return text.substr(first, random_below(text.size() - first + 1, random));
}

void insert_part(std::string& text, std::string_view inserted, random_engine& random) {
    // `inserted` may be a view into `text`.
    const std::string copy(inserted);
    text.insert(random_below(text.size() + 1, random), copy);
}

void replace_byte(std::string& text, random_engine& random) {
    if (!text.empty()) {
        text[random_below(text.size(), random)] = static_cast<char>(random_below(256, random));
    }
}

void flip_bit(std::string& text, random_engine& random) {
    if (!text.empty()) {
        auto& byte = text[random_below(text.size(), random)];
        byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random_below(8, random)));
    }
}

void erase_part(std::string& text, random_engine& random) {
    const auto first = random_below(text.size() + 1, random);
    text.erase(first, random_below(std::min<std::size_t>(text.size() - first, 16) + 1, random));
}

void mutate_once(std::string& text, std::span<const std::string> corpus, random_engine& random) {
    switch (random_below(6, random)) {
    case 0:
        return replace_byte(text, random);
    case 1:
        return flip_bit(text, random);
    case 2:
        return erase_part(text, random);
    case 3:
        return insert_part(text, random_part(text, random), random);
    case 4:
        return insert_part(text, random_part(corpus[random_below(corpus.size(), random)], random), random);
    default:
        return insert_part(text, tokens.at(random_below(tokens.size(), random)), random);
    }
}

std::string to_hex(std::string_view input) {
    std::string text;
    for (const char it : input) {
        constexpr std::string_view digits = "0123456789abcdef";
        text += digits[static_cast<unsigned char>(it) >> 4U];
        text += digits[static_cast<unsigned char>(it) & 15U];
    }
    return text;
}

} // namespace

std::vector<std::string> load_corpus(std::string_view name) {
    std::vector<std::filesystem::path> files;
    for (const auto& it :
         std::filesystem::directory_iterator(std::string(LYCHEEGAP_CORPUS_DIR "/") += name)) {
        files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    std::vector<std::string> inputs;
    for (const auto& it : files) {
        std::ostringstream text;
        text << std::ifstream(it, std::ios::binary).rdbuf();
        inputs.push_back(text.str());
    }
    return inputs;
}

std::string mutate(std::span<const std::string> corpus, random_engine& random) {
    auto text = corpus[random_below(corpus.size(), random)];
    const auto changes = 1 + random_below(4, random);
    for (std::size_t n = 0; n < changes; ++n) {
        mutate_once(text, corpus, random);
    }
    text.resize(std::min(text.size(), max_input_bytes));
    return text;
}

void run_fuzz(std::string_view name, const fuzz_target& target) {
    const auto corpus = load_corpus(name);
    run_fuzz(corpus, name, target);
}

void run_fuzz(std::span<const std::string> corpus, std::string_view name, const fuzz_target& target) {
    REQUIRE_FALSE(corpus.empty());
    const auto seed = number_from_environment("LYCHEEGAP_FUZZ_SEED", default_seed);
    const auto runs = number_from_environment("LYCHEEGAP_FUZZ_RUNS", default_run_count);
    const bool trace = std::getenv("LYCHEEGAP_FUZZ_TRACE") != nullptr;
    std::cout << "fuzz target=" << name << " seed=" << seed << " runs=" << runs << '\n';
    random_engine random(seed);
    for (std::uint64_t n = 0; n < corpus.size() + runs; ++n) {
        const auto input = n < corpus.size() ? corpus[n] : mutate(corpus, random);
        INFO("seed ", seed, ", input ", n, ", in hexadecimal ", to_hex(input));
        if (trace) {
            std::cerr << n << ' ' << to_hex(input) << std::endl;
        }
        target(input);
    }
}

} // namespace lycheegap::fuzz_tests
