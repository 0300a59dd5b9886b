#include "http_client.h"

#include <algorithm>
#include <mutex>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/common/last_reason.h"

namespace lycheegap::transport {

namespace {

constexpr long connect_timeout_ms = 1000;
constexpr long min_timeout_ms = 1;
// All header lines of a response, those of interim (1xx) responses and trailers included.
constexpr std::size_t max_header_bytes = 65536;

struct curl_list_deleter {
    void operator()(curl_slist* list) const {
        curl_slist_free_all(list);
    }
};

using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

/// State of one call, filled by the curl callbacks.
struct call_state {
    explicit call_state(memory_budget& memory) : reservation(&memory) {}

    http_response response;
    memory_reservation reservation;
    std::size_t header_bytes{0};
    /// The response has more header bytes than allowed, or a body that the memory budget has no room for.
    bool too_large{false};
    bool sending_started{false};
    bool has_framing{false};
    /// The empty line that ends the head has arrived. libcurl reports no error when the connection closes
    /// before.
    bool head_complete{false};
};

std::size_t on_body(char* data, std::size_t size, std::size_t n, void* user_data) {
    auto& state = *static_cast<call_state*>(user_data);
    auto& body = state.response.body;
    if (!reserve_memory(state.reservation, body.size() + size * n)) {
        state.too_large = true;
        return 0;
    }
    body.append(data, size * n);
    return size * n;
}

bool is_hop_by_hop_header(std::string_view name) {
    return execution::equals_ignoring_case(name, "connection") ||
           execution::equals_ignoring_case(name, "keep-alive") ||
           execution::equals_ignoring_case(name, "transfer-encoding") ||
           execution::equals_ignoring_case(name, "content-length");
}

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

std::size_t on_header(char* data, std::size_t size, std::size_t n, void* user_data) {
    auto& state = *static_cast<call_state*>(user_data);
    const std::string_view line(data, size * n);
    state.header_bytes += line.size();
    if (state.header_bytes > max_header_bytes) {
        state.too_large = true;
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        // A final response head follows an interim (1xx) one: keep only the last head.
        state.response.headers.clear();
        state.has_framing = false;
        state.head_complete = false;
        return line.size();
    }
    if (line == "\r\n" || line == "\n") {
        state.head_complete = true;
        return line.size();
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return line.size();
    }
    const auto name = line.substr(0, colon);
    const auto value = trimmed(line.substr(colon + 1));
    const bool is_framing =
        execution::equals_ignoring_case(name, "content-length") ||
        (execution::equals_ignoring_case(name, "transfer-encoding") && value == "chunked");
    state.has_framing = state.has_framing || is_framing;
    if (!is_hop_by_hop_header(name)) {
        state.response.headers.push_back({std::string(name), std::string(value)});
    }
    return line.size();
}

// libcurl retries a request by itself when a reused connection turns out to be closed, although the server
// may have run the request. This callback runs before each attempt and aborts every one after the first.
int on_request_start(void* user_data, char* /*unused*/, char* /*unused*/, int /*unused*/, int /*unused*/) {
    auto& state = *static_cast<call_state*>(user_data);
    if (state.sending_started) {
        return CURL_PREREQFUNC_ABORT;
    }
    state.sending_started = true;
    return CURL_PREREQFUNC_OK;
}

curl_handle take_handle(connection_pool& pool, const std::string& address) {
    {
        const std::lock_guard guard(pool.mutex);
        auto& idle = pool.idle[address];
        if (!idle.empty()) {
            auto handle = std::move(idle.back());
            idle.pop_back();
            return handle;
        }
    }
    return curl_handle(curl_easy_init());
}

void return_handle(connection_pool& pool, const std::string& address, curl_handle handle) {
    const std::lock_guard guard(pool.mutex);
    auto& idle = pool.idle[address];
    if (idle.size() < pool.idle_limit) {
        idle.push_back(std::move(handle));
    }
}

void close_idle_connections(connection_pool& pool, const std::string& address) {
    std::vector<curl_handle> closing;
    const std::lock_guard guard(pool.mutex);
    pool.idle[address].swap(closing);
}

// Detects a lost network path within about two seconds by TCP_USER_TIMEOUT and keep-alive probes. A slow
// endpoint is not affected: its kernel still acknowledges.
int set_socket_options(void* /*unused*/, curl_socket_t fd, curlsocktype /*unused*/) {
    const unsigned int user_timeout_ms = 2000;
    const int on = 1;
    const int keepalive_s = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepalive_s, sizeof keepalive_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepalive_s, sizeof keepalive_s);
    return CURL_SOCKOPT_OK;
}

curl_list make_header_list(const http_call& call) {
    curl_slist* list = nullptr;
    for (const auto& it : call.head.headers) {
        // libcurl sends a header with an empty value only when it is given as "Name;".
        const auto line = it.value.empty() ? it.name + ";" : it.name + ": " + it.value;
        list = curl_slist_append(list, line.c_str());
    }
    list = curl_slist_append(list, "Expect:");
    if (execution::find_header(call.head.headers, "content-type").empty()) {
        // Keeps libcurl from adding application/x-www-form-urlencoded.
        list = curl_slist_append(list, "Content-Type:");
    }
    return curl_list(list);
}

std::string make_url(const http_call& call) {
    const auto* separator = call.head.query.empty() ? "" : "?";
    return fmt::format("http://{}{}{}{}", call.address, call.head.path, separator, call.head.query);
}

long timeout_ms(common::time_point deadline) {
    const auto remaining_ms = common::milliseconds_between(common::monotonic::now(), deadline);
    return std::max(min_timeout_ms, static_cast<long>(remaining_ms));
}

void set_request(CURL* handle, const http_call& call, curl_slist* headers) {
    curl_easy_setopt(handle, CURLOPT_URL, make_url(call).c_str());
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    if (call.head.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (!call.body.empty() || call.head.method == "POST" || call.head.method == "PUT") {
        // With a null pointer libcurl would read the body from a read callback.
        const auto* body = call.body.empty() ? "" : reinterpret_cast<const char*>(call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.head.method.c_str());
}

void set_limits(CURL* handle, const http_call& call) {
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, timeout_ms(call.deadline));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_MAXCONNECTS, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_SOCKOPTFUNCTION, &set_socket_options);
}

void set_callbacks(CURL* handle, call_state& state) {
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &on_request_start);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &state);
}

bool has_body(const http_call& call, long status) {
    constexpr long status_no_content = 204;
    constexpr long status_not_modified = 304;
    return call.head.method != "HEAD" && status != status_no_content && status != status_not_modified;
}

constexpr std::string_view request_id_header = "x-request-id";

/// False when request and response both carry a request id and the ids differ.
bool answers_request(const http_call& call, const http_response& answer) {
    const auto sent_id = execution::find_header(call.head.headers, request_id_header);
    const auto received_id = execution::find_header(answer.headers, request_id_header);
    return sent_id.empty() || received_id.empty() || sent_id == received_id;
}

void count_opened(connection_pool& pool, CURL* handle) {
    long opened = 0;
    curl_easy_getinfo(handle, CURLINFO_NUM_CONNECTS, &opened);
    const std::lock_guard guard(pool.mutex);
    pool.opened += static_cast<std::uint64_t>(opened);
}

} // namespace

void curl_handle_deleter::operator()(CURL* handle) const {
    curl_easy_cleanup(handle);
}

http_result call_http(connection_pool& pool, const http_call& call) {
    auto handle = take_handle(pool, call.address);
    call_state state(pool.response_memory);
    const auto headers = make_header_list(call);
    curl_easy_reset(handle.get());
    set_request(handle.get(), call, headers.get());
    set_limits(handle.get(), call);
    set_callbacks(handle.get(), state);
    if (!pool.source_address.empty()) {
        curl_easy_setopt(handle.get(), CURLOPT_INTERFACE, ("host!" + pool.source_address).c_str());
    }
    const auto ec = curl_easy_perform(handle.get());
    count_opened(pool, handle.get());
    http_result result;
    result.may_have_been_sent = state.sending_started;
    if (ec == CURLE_OPERATION_TIMEDOUT && state.sending_started) {
        // A fault on the network path may have stalled the idle connections to this address too.
        close_idle_connections(pool, call.address);
    }
    if (ec != CURLE_OK) {
        common::fail(state.sending_started ? common::step::receive : common::step::connect, call.address,
                     state.too_large ? "the response is too large" : curl_easy_strerror(ec));
        return result;
    }
    if (!state.head_complete) {
        common::fail(common::step::receive, call.address, "the connection closed within the response's head");
        return result;
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    if (has_body(call, status) && !state.has_framing) {
        common::fail(common::step::receive, call.address,
                     "the response has neither a content length nor chunked encoding");
        return result;
    }
    if (!answers_request(call, state.response)) {
        common::fail(common::step::receive, call.address, "the response carries the id of another request");
        return result;
    }
    return_handle(pool, call.address, std::move(handle));
    state.response.status = static_cast<int>(status);
    result.response = std::move(state.response);
    return result;
}

std::size_t idle_connections(connection_pool& pool, std::string_view address) {
    const std::lock_guard guard(pool.mutex);
    const auto it = pool.idle.find(address);
    return it == pool.idle.end() ? 0 : it->second.size();
}

} // namespace lycheegap::transport
