#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheegap::fuzz_tests {

using random_engine = std::mt19937_64;

/// Takes one input; checks with doctest.
using fuzz_target = std::function<void(std::string_view input)>;

/// Contents of all files of corpus/NAME, in order of their names.
std::vector<std::string> load_corpus(std::string_view name);

/// One input of the corpus with a few changes: bytes flipped, cut out, doubled, joined with another input, or
/// replaced by a token that parsers often get wrong.
std::string mutate(std::span<const std::string> corpus, random_engine& random);

/// Gives each file of corpus/NAME and then mutated inputs to the target. LYCHEEGAP_FUZZ_RUNS is their number
/// (20000), LYCHEEGAP_FUZZ_SEED the seed (1); with LYCHEEGAP_FUZZ_TRACE each input is printed before its run.
void run_fuzz(std::string_view name, const fuzz_target& target);

/// The same over inputs that are not files.
void run_fuzz(std::span<const std::string> corpus, std::string_view name, const fuzz_target& target);

} // namespace lycheegap::fuzz_tests
