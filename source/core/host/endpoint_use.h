#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/execution/attempt.h"

namespace lycheegap::host {

struct host_state;

/// Takes a slot of one endpoint of the service and returns its address; empty when none may be used.
/// `excluded` is an address tried before.
std::optional<std::string> take_endpoint(host_state& host, std::string_view service,
                                         std::string_view excluded);

/// Gives the slot back and learns from the attempt's end.
void give_back_endpoint(host_state& host, std::string_view service, std::string_view address,
                        execution::attempt_result result, double latency_ms);

/// Takes over the services of a new configuration; endpoints that stay keep what was learnt of them.
void take_services(host_state& host, const catalog::configuration& configuration);

} // namespace lycheegap::host
