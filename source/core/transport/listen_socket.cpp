#include "listen_socket.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/common/last_reason.h"
#include "http_message.h"

namespace lycheegap::transport {

namespace {

constexpr int listen_backlog = 1024;
constexpr std::uint64_t max_port = 65535;

bool bind_and_listen(int fd, const sockaddr_in& bind_address) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return bind(fd, reinterpret_cast<const sockaddr*>(&bind_address), sizeof bind_address) == 0 &&
           listen(fd, listen_backlog) == 0;
}

int bound_port(int fd) {
    sockaddr_in actual{};
    socklen_t size = sizeof actual;
    getsockname(fd, reinterpret_cast<sockaddr*>(&actual), &size);
    return ntohs(actual.sin_port);
}

} // namespace

std::optional<listen_socket> open_listener(const std::string& address, int port) {
    const auto peer = join_address(address, port);
    sockaddr_in bind_address{};
    bind_address.sin_family = AF_INET;
    bind_address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, address.c_str(), &bind_address.sin_addr) != 1) {
        return common::fail(common::step::listen, peer, "not an IPv4 address");
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return common::fail(common::step::listen, peer, std::strerror(errno));
    }
    if (!bind_and_listen(fd, bind_address)) {
        common::fail(common::step::listen, peer, std::strerror(errno));
        close(fd);
        return std::nullopt;
    }
    return listen_socket{fd, bound_port(fd)};
}

std::string join_address(std::string_view ip, int port) {
    return fmt::format("{}:{}", ip, port);
}

std::optional<host_and_port> split_address(std::string_view address) {
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return common::fail(common::step::connect, address, "not of the form ip:port");
    }
    const auto port = parse_uint_or(address.substr(colon + 1), max_port + 1);
    if (port > max_port) {
        return common::fail(common::step::connect, address, "not a port number");
    }
    return host_and_port{std::string(address.substr(0, colon)), static_cast<int>(port)};
}

} // namespace lycheegap::transport
