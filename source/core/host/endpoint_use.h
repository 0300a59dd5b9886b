#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/catalog/catalog.h"
#include "core/execution/attempt.h"
#include "core/execution/caller_key.h"
#include "core/steering/endpoint_choice.h"

namespace lycheegap::host {

struct host_state;

/// Takes a slot of one endpoint of the service and returns its address; empty when none may be used.
/// `excluded` is an address tried before.
std::optional<std::string> take_endpoint(host_state& host, std::string_view service,
                                         std::string_view excluded);

/// Gives the slot back and learns from the attempt's end.
void give_back_endpoint(host_state& host, std::string_view service, std::string_view address,
                        execution::attempt_result result, double latency_ms);

/// Learns from the head of an endpoint's answer: x-load-percent and x-draining.
void learn_from_head(host_state& host, std::string_view address,
                     const std::vector<execution::header>& headers);

/// Learns from a report on an endpoint that was measured at `measured_at`, unless a newer one is known.
void learn_from_report(host_state& host, std::string_view address, const steering::endpoint_report& report,
                       common::time_point measured_at);

/// Takes over the services of a new configuration; endpoints that stay keep what was learnt of them.
void take_services(host_state& host, const catalog::configuration& configuration);

} // namespace lycheegap::host
