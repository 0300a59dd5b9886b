#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lycheegap::failure_tests {

/// A blocking connection of a client that keeps no rules. Sends and reads give up after a few seconds.
struct client_socket {
    client_socket() = default;
    client_socket(const client_socket&) = delete;
    client_socket& operator=(const client_socket&) = delete;
    client_socket(client_socket&&) = delete;
    client_socket& operator=(client_socket&&) = delete;
    ~client_socket();

    int fd{-1};
};

/// Connects to "ip:port"; false when that fails.
bool connect_client(client_socket& it, const std::string& address);

/// Lets the system hold only a few unread bytes of the connection, as on a slow link.
void limit_receive_buffer(const client_socket& it);

/// Sends all bytes; false when the other side does not take them.
bool send_bytes(const client_socket& it, std::string_view bytes);

/// Sends `total` filler bytes in pieces; false when the other side does not take them.
bool send_filler(const client_socket& it, std::size_t total);

/// Reads until the connection ends, nothing arrives for a few seconds or `most` bytes have arrived; returns
/// what was read.
std::string read_bytes(const client_socket& it, std::size_t most);

/// Clients on a thread each, whose connections stay open until the crowd ends.
struct crowd {
    crowd() = default;
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;
    /// Waits for all clients.
    ~crowd();

    std::vector<std::unique_ptr<client_socket>> sockets;
    std::vector<std::thread> threads;
};

/// Connects `count` clients and runs `act` for each.
void start_crowd(crowd& it, std::size_t count, const std::string& address,
                 const std::function<void(client_socket&)>& act);

/// Waits until all clients have acted; their connections stay open.
void wait_for_crowd(crowd& it);

/// Largest resident memory of a process so far, in bytes; 0 when it has ended.
std::size_t peak_resident_bytes(pid_t pid);

/// Open file descriptors of a process; 0 when it has ended.
std::size_t open_descriptors(pid_t pid);

} // namespace lycheegap::failure_tests
