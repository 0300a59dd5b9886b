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

/// Passes one input to the code under test and checks the result with doctest assertions.
using fuzz_target = std::function<void(std::string_view input)>;

/// Contents of all files in the folder corpus/NAME, sorted by file name.
std::vector<std::string> load_corpus(std::string_view name);

/// A random input of the corpus after one to four random changes: replaces a byte, flips a bit, erases a
/// part, or inserts a part of itself, a part of another input or a token that parsers often mishandle. At
/// most 4096 bytes.
std::string mutate(std::span<const std::string> corpus, random_engine& random);

/// Runs the target on each file of corpus/NAME and then on mutated inputs. Environment variables:
/// LYCHEEGAP_FUZZ_RUNS is the number of mutated inputs (default 20000), LYCHEEGAP_FUZZ_SEED the random seed
/// (default 1). When LYCHEEGAP_FUZZ_TRACE is set, each input is printed to standard error before its run, so
/// that one that crashes the program is known.
void run_fuzz(std::string_view name, const fuzz_target& target);

/// As above, but with the given corpus; `name` is only printed.
void run_fuzz(std::span<const std::string> corpus, std::string_view name, const fuzz_target& target);

} // namespace lycheegap::fuzz_tests
