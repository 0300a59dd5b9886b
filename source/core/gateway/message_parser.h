#pragma once

#include <cstddef>

#include <boost/beast/http/basic_parser.hpp>

#include "net.h"

namespace lycheegap::gateway {

/// Passes buffered input to the parser and removes what it takes from the buffer; returns the size of that.
/// Sets `ec` to `need_more` when the parser can take no more of the input, and to another error when the
/// message is invalid or too large for the parser. Never throws.
std::size_t parse_input(http::basic_parser<true>& parser, beast::flat_buffer& input, error_code& ec);
std::size_t parse_input(http::basic_parser<false>& parser, beast::flat_buffer& input, error_code& ec);

} // namespace lycheegap::gateway
