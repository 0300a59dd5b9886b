#include <mutex>

#include <unistd.h>

#include "link_table.h"

namespace lycheegap::stand_ins {

namespace {

using transport::parse_uint_or;
using transport::query_parameter;

void wake_relay(const link_table& links) {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto n = write(links.wake_fd, &one, sizeof one);
}

} // namespace

transport::http_response serve_link_control(link_table& links, const transport::http_request& request) {
    const std::string_view query = request.head.query;
    const std::string route(query_parameter(query, "route"));
    const std::string source(query_parameter(query, "from"));
    {
        const std::lock_guard guard(links.mutex);
        auto& fault = links.faults[route][source];
        fault.cut = parse_uint_or(query_parameter(query, "cut"), fault.cut ? 1 : 0) != 0;
        fault.delay_ms = static_cast<int>(parse_uint_or(query_parameter(query, "delay_ms"), fault.delay_ms));
        links.silence_generations[route] += parse_uint_or(query_parameter(query, "silence"), 0);
    }
    wake_relay(links);
    return {200, {}, "done\n"};
}

void stop_relay(link_table& links) {
    {
        const std::lock_guard guard(links.mutex);
        links.stopping = true;
    }
    wake_relay(links);
}

} // namespace lycheegap::stand_ins
