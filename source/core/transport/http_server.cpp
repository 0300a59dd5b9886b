#include "http_server.h"

#include <array>
#include <cctype>
#include <cstring>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <unistd.h>

// Parts of ulfius.h lack extern "C" guards.
extern "C" {
#include <ulfius.h>
}

#include "core/common/last_reason.h"
#include "listen_socket.h"

namespace lycheegap::transport {

struct http_server::state {
    _u_instance instance{};
    bool initialized{false};
    bool started{false};
    int port{0};
    std::size_t body_limit{0};
    http_handler handler;
};

namespace {

constexpr int status_payload_too_large = 413;
constexpr int status_internal = 500;
constexpr unsigned int idle_timeout_s = 60;

std::string client_ip(const _u_request& request) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(request.client_address);
    if (address == nullptr || address->sin_family != AF_INET) {
        return {};
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

int client_port(const _u_request& request) {
    const auto* address = reinterpret_cast<const sockaddr_in*>(request.client_address);
    return address == nullptr || address->sin_family != AF_INET ? 0 : ntohs(address->sin_port);
}

std::string raw_query(const _u_request& request) {
    const std::string_view url = request.http_url == nullptr ? "" : request.http_url;
    const auto query_start = url.find('?');
    return query_start == std::string_view::npos ? std::string() : std::string(url.substr(query_start + 1));
}

http_request view_request(const _u_request& request) {
    http_request view;
    view.head.method = request.http_verb;
    view.head.path = request.url_path == nullptr ? "/" : request.url_path;
    view.head.query = raw_query(request);
    const auto& headers = *request.map_header;
    for (int n = 0; n < headers.nb_values; ++n) {
        // The length fields of some entries include the terminating zero, so the C strings are read instead.
        view.head.headers.push_back({headers.keys[n], headers.values[n]});
    }
    const auto* body = static_cast<const std::byte*>(request.binary_body);
    view.body = std::span(body, request.binary_body_length);
    view.peer = client_ip(request);
    view.peer_port = client_port(request);
    return view;
}

/// The `n`th case variant of a header name: bit k of `n` makes letter k upper case.
std::string case_variant(std::string_view name, std::size_t n) {
    std::string variant;
    for (const char c : name) {
        const auto lower = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        const bool is_letter = std::isalpha(static_cast<unsigned char>(c)) != 0;
        const bool upper = is_letter && (n & 1U) != 0;
        n = is_letter ? n >> 1U : n;
        variant += upper ? static_cast<char>(std::toupper(static_cast<unsigned char>(c))) : lower;
    }
    return variant;
}

// The header map of ulfius holds one value per exact name. Repeated headers such as Set-Cookie are therefore
// sent with names that differ only in case, which HTTP treats as equal.
void set_headers(_u_map& out, const std::vector<execution::header>& headers) {
    for (std::size_t k = 0; k < headers.size(); ++k) {
        std::size_t previous_count = 0;
        for (std::size_t n = 0; n < k; ++n) {
            previous_count += execution::equals_ignoring_case(headers[n].name, headers[k].name) ? 1 : 0;
        }
        u_map_put(&out, case_variant(headers[k].name, previous_count).c_str(), headers[k].value.c_str());
    }
}

void fill_response(_u_response& out, const http_response& answer) {
    // ulfius_set_binary_body_response does nothing for an empty body, so the status is set here as well.
    out.status = answer.status;
    ulfius_set_binary_body_response(&out, static_cast<unsigned int>(answer.status), answer.body.data(),
                                    answer.body.size());
    set_headers(*out.map_header, answer.headers);
}

// ulfius truncates a body at max_post_body_size, which is set one byte above the limit so that a body over
// the limit is recognised.
bool is_too_large(const http_server::state& server, const http_request& request) {
    const auto declared = parse_uint_or(execution::find_header(request.head.headers, "content-length"), 0);
    return declared > server.body_limit || request.body.size() > server.body_limit;
}

// Converts exceptions to a 500 response: they must not unwind through the C library.
http_response run_handler(http_server::state& server, const http_request& request) {
    if (is_too_large(server, request)) {
        const auto text =
            fmt::format("{{\"reason\":\"body\",\"outcome\":\"not_run\",\"text\":\"body is larger "
                        "than {} bytes\"}}",
                        server.body_limit);
        return json_response(status_payload_too_large, text);
    }
    try {
        return server.handler(request);
    } catch (const std::exception& exception) {
        return {status_internal, {}, exception.what()};
    }
}

int on_request(const _u_request* request, _u_response* response, void* user_data) {
    auto& server = *static_cast<http_server::state*>(user_data);
    fill_response(*response, run_handler(server, view_request(*request)));
    return U_CALLBACK_COMPLETE;
}

unsigned int daemon_flags(const http_server_options& options) {
    if (options.workers == 0) {
        return MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD;
    }
    return MHD_USE_EPOLL_INTERNAL_THREAD;
}

std::vector<MHD_OptionItem> daemon_options(const http_server_options& options, int listen_fd) {
    std::vector<MHD_OptionItem> items = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
        {MHD_OPTION_LISTEN_SOCKET, listen_fd, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, options.connection_limit, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, idle_timeout_s, nullptr},
    };
    if (options.workers > 1) {
        items.push_back({MHD_OPTION_THREAD_POOL_SIZE, options.workers, nullptr});
    }
    items.push_back({MHD_OPTION_END, 0, nullptr});
    return items;
}

bool initialize(http_server::state& server, const http_server_options& options) {
    const auto port = static_cast<unsigned int>(server.port);
    if (ulfius_init_instance(&server.instance, port, nullptr, nullptr) != U_OK) {
        return false;
    }
    server.initialized = true;
    server.instance.max_post_body_size = options.body_limit + 1;
    server.instance.check_utf8 = 0;
    server.instance.allowed_post_processor = U_POST_PROCESS_NONE;
    return ulfius_set_default_endpoint(&server.instance, &on_request, &server) == U_OK;
}

} // namespace

http_server::http_server(std::unique_ptr<state> running) : state_(std::move(running)) {}

http_server::http_server(http_server&& other) noexcept = default;

http_server& http_server::operator=(http_server&& other) noexcept {
    if (this != &other) {
        stop();
        state_ = std::move(other.state_);
    }
    return *this;
}

http_server::~http_server() {
    stop();
}

int http_server::port() const {
    return state_->port;
}

void http_server::stop() {
    if (!state_) {
        return;
    }
    if (state_->started) {
        ulfius_stop_framework(&state_->instance);
    }
    if (state_->initialized) {
        ulfius_clean_instance(&state_->instance);
    }
    state_.reset();
}

std::optional<http_server> start_http_server(const http_server_options& options, http_handler handler) {
    const auto listener = open_listener(options.address, options.port);
    if (!listener) {
        return std::nullopt;
    }
    auto server = std::make_unique<http_server::state>();
    server->port = listener->port;
    server->body_limit = options.body_limit;
    server->handler = std::move(handler);
    auto items = daemon_options(options, listener->fd);
    const auto peer = join_address(options.address, listener->port);
    if (!initialize(*server, options)) {
        close(listener->fd);
        return common::fail(common::step::listen, peer, "the HTTP server cannot be initialized");
    }
    const auto result =
        ulfius_start_framework_with_mhd_options(&server->instance, daemon_flags(options), items.data());
    if (result != U_OK) {
        close(listener->fd);
        return common::fail(common::step::listen, peer, "the HTTP server cannot be started");
    }
    server->started = true;
    return http_server(std::move(server));
}

} // namespace lycheegap::transport
