#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::transport {

/// A listening TCP socket; the holder closes `fd`.
struct listen_socket {
    int fd{-1};
    /// Actual port, also when port 0 was asked for.
    int port{0};
};

/// Opens a socket on an IP number and port. The reason names the address when the port is in use.
std::optional<listen_socket> open_listener(const std::string& address, int port);

/// "ip:port".
std::string join_address(std::string_view ip, int port);

/// IP number and port of "ip:port".
struct host_and_port {
    std::string ip;
    int port{0};
};

std::optional<host_and_port> split_address(std::string_view address);

} // namespace lycheegap::transport
