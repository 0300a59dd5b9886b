#pragma once

// The library uses std::exchange without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/common/clock.h"

namespace lycheegap::gateway {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::awaitable;
using net::ip::tcp;

using request_message = http::request<http::string_body>;
/// A request whose body is held elsewhere.
using outgoing_request = http::request<http::span_body<const char>>;
using response_message = http::response<http::string_body>;
/// Executor that runs the handlers of one connection one at a time, on any worker.
using connection_strand = net::strand<net::io_context::executor_type>;

/// Completion token for `co_await` that stores the error in `ec` instead of throwing it.
inline auto keep_error(error_code& ec) {
    return net::redirect_error(net::use_awaitable, ec);
}

/// Waits until `due` or until the timer is cancelled.
inline awaitable<void> wait_until(net::steady_timer& timer, common::time_point due) {
    error_code ec;
    timer.expires_at(due);
    co_await timer.async_wait(keep_error(ec));
}

} // namespace lycheegap::gateway
