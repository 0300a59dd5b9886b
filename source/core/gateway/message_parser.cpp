#include "message_parser.h"

#include <new>
#include <stdexcept>

namespace lycheegap::gateway {

namespace {

// The library throws for some input, such as a header field or a trailer of 64 KiB and more. An exception
// must not leave a completion handler: it would unwind the worker's event loop instead of the coroutine that
// reads.
template <bool IsRequest>
std::size_t parse(http::basic_parser<IsRequest>& parser, beast::flat_buffer& input, error_code& ec) {
    if (input.size() == 0) {
        ec = http::error::need_more;
        return 0;
    }
    try {
        const auto used = parser.put(input.data(), ec);
        input.consume(used);
        return used;
    } catch (const std::length_error&) {
        ec = http::error::header_limit;
    } catch (const std::bad_alloc&) {
        ec = make_error_code(boost::system::errc::not_enough_memory);
    } catch (const std::exception&) {
        ec = http::error::bad_value;
    }
    return 0;
}

} // namespace

std::size_t parse_input(http::basic_parser<true>& parser, beast::flat_buffer& input, error_code& ec) {
    return parse(parser, input, ec);
}

std::size_t parse_input(http::basic_parser<false>& parser, beast::flat_buffer& input, error_code& ec) {
    return parse(parser, input, ec);
}

} // namespace lycheegap::gateway
