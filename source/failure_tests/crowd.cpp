#include "crowd.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "core/transport/listen_socket.h"

namespace lycheegap::failure_tests {

namespace {

constexpr std::size_t piece_bytes = 64U << 10U;
constexpr int io_timeout_s = 5;
constexpr int small_receive_buffer_bytes = 16 << 10;

} // namespace

client_socket::~client_socket() {
    if (fd >= 0) {
        close(fd);
    }
}

bool connect_client(client_socket& it, const std::string& address) {
    const auto parts = transport::split_address(address);
    it.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!parts || it.fd < 0) {
        return false;
    }
    const timeval timeout{io_timeout_s, 0};
    setsockopt(it.fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    setsockopt(it.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(parts->port));
    return inet_pton(AF_INET, parts->ip.c_str(), &target.sin_addr) == 1 &&
           connect(it.fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
}

void limit_receive_buffer(const client_socket& it) {
    const int size = small_receive_buffer_bytes;
    setsockopt(it.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

bool send_bytes(const client_socket& it, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto n = send(it.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool send_filler(const client_socket& it, std::size_t total) {
    const std::string piece(piece_bytes, 'x');
    while (total > 0) {
        const auto n = std::min(total, piece.size());
        if (!send_bytes(it, std::string_view(piece).substr(0, n))) {
            return false;
        }
        total -= n;
    }
    return true;
}

std::string read_bytes(const client_socket& it, std::size_t most) {
    std::string read;
    std::string buf(piece_bytes, '\0');
    while (read.size() < most) {
        const auto n = recv(it.fd, buf.data(), std::min(buf.size(), most - read.size()), 0);
        if (n <= 0) {
            break;
        }
        read.append(buf, 0, static_cast<std::size_t>(n));
    }
    return read;
}

crowd::~crowd() {
    wait_for_crowd(*this);
}

void start_crowd(crowd& it, std::size_t count, const std::string& address,
                 const std::function<void(client_socket&)>& act) {
    for (std::size_t n = 0; n < count; ++n) {
        auto& added = *it.sockets.emplace_back(std::make_unique<client_socket>());
        it.threads.emplace_back([&added, address, act] {
            if (connect_client(added, address)) {
                act(added);
            }
        });
    }
}

void wait_for_crowd(crowd& it) {
    for (auto& one : it.threads) {
        one.join();
    }
    it.threads.clear();
}

std::size_t peak_resident_bytes(pid_t pid) {
    std::ifstream file(fmt::format("/proc/{}/status", pid));
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::strtoull(line.c_str() + 6, nullptr, 10) << 10U;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t pid) {
    std::error_code ec;
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", pid), ec);
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace lycheegap::failure_tests
