#include "upload_endpoint.h"

#include <limits>

#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <fmt/format.h>

#include "core/common/clock.h"
#include "core/common/last_reason.h"
#include "core/common/log.h"
#include "core/gateway/message_headers.h"
#include "core/transport/listen_socket.h"

namespace lycheegap::stand_ins {

namespace {

using common::field;
using gateway::awaitable;
using gateway::error_code;
using gateway::keep_error;
using gateway::tcp;

namespace beast = gateway::beast;
namespace http = gateway::http;
namespace net = gateway::net;

std::string response_text(std::string_view id, std::string_view body) {
    return fmt::format("HTTP/1.1 200 OK\r\nLycheegap-Request-Id: {0}\r\nLycheegap-Response-Seal: seal-{0}\r\n"
                       "\r\n{1}",
                       id, body);
}

/// Whether the response to the request is cut off. Ids end with a random hexadecimal digit.
bool is_cut_off(std::string_view id) {
    return !id.empty() && static_cast<unsigned char>(id.back()) % 2 == 1;
}

/// Serves the one request of a connection.
awaitable<void> serve_connection(tcp::socket socket) {
    beast::flat_buffer input;
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    error_code ec;
    co_await http::async_read_header(socket, input, parser, keep_error(ec));
    if (ec) {
        co_return;
    }
    const auto& head = parser.get();
    const std::string id(head["Lycheegap-Request-Id"]);
    common::log_info("ran", {field("request", id), field("unix_ms", common::unix_milliseconds()),
                             field("team", gateway::to_view(head["Lycheegap-Tenant"])),
                             field("key_seen", head.count(http::field::authorization) > 0),
                             field("draining", false)});
    const auto body = "body-of-" + id;
    if (is_cut_off(id)) {
        const auto part = response_text(id, std::string_view(body).substr(0, body.size() / 2));
        co_await net::async_write(socket, net::buffer(part), keep_error(ec));
        socket.set_option(net::socket_base::linger(true, 0), ec);
        socket.close(ec);
        co_return;
    }
    co_await http::async_read(socket, input, parser, keep_error(ec));
    if (!ec) {
        const auto whole = response_text(id, body);
        co_await net::async_write(socket, net::buffer(whole), keep_error(ec));
    }
}

awaitable<void> accept_connections(std::shared_ptr<tcp::acceptor> acceptor) {
    while (true) {
        error_code ec;
        auto socket = co_await acceptor->async_accept(keep_error(ec));
        if (!ec) {
            net::co_spawn(acceptor->get_executor(), serve_connection(std::move(socket)), net::detached);
        }
    }
}

} // namespace

bool start_upload_endpoint(net::io_context& io, const upload_endpoint& endpoint) {
    const auto address = transport::split_address(endpoint.address);
    const auto listener = address ? transport::open_listener(address->ip, address->port) : std::nullopt;
    if (!listener) {
        return false;
    }
    auto acceptor = std::make_shared<tcp::acceptor>(io, tcp::v4(), listener->fd);
    net::co_spawn(io, accept_connections(std::move(acceptor)), net::detached);
    return true;
}

} // namespace lycheegap::stand_ins
