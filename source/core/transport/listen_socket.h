#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheegap::transport {

/// A listening TCP socket. The owner must close `fd`.
struct listen_socket {
    int fd{-1};
    /// Bound port; the one the system chose when port 0 was requested.
    int port{0};
};

/// Binds and listens on an IPv4 address in dotted form and a port (0: any free port). On an error returns
/// empty, and `common::last_reason()` holds "ip:port" and the cause.
std::optional<listen_socket> open_listener(const std::string& address, int port);

/// Formats "ip:port".
std::string join_address(std::string_view ip, int port);

/// The two parts of "ip:port".
struct host_and_port {
    std::string ip;
    int port{0};
};

/// Parses "ip:port". Checks the port (0 to 65535), not the IP. On an error returns empty and sets
/// `common::last_reason()`.
std::optional<host_and_port> split_address(std::string_view address);

} // namespace lycheegap::transport
