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

constexpr int backlog = 1024;
constexpr std::uint64_t port_limit = 65535;

bool bind_and_listen(int fd, const sockaddr_in& where) {
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    return bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0 && listen(fd, backlog) == 0;
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
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, address.c_str(), &where.sin_addr) != 1) {
        return common::fail(common::step::listen, peer, "not an IP number");
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return common::fail(common::step::listen, peer, std::strerror(errno));
    }
    if (!bind_and_listen(fd, where)) {
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
    const auto port = number_or(address.substr(colon + 1), port_limit + 1);
    if (port > port_limit) {
        return common::fail(common::step::connect, address, "not a port");
    }
    return host_and_port{std::string(address.substr(0, colon)), static_cast<int>(port)};
}

} // namespace lycheegap::transport
