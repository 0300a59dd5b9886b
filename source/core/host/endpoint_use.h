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

/// Picks a region by the service's shares, reserves a slot of one endpoint there and returns the endpoint's
/// address; empty when none of that region may be used now. The endpoint at the address `excluded` is not
/// used.
std::optional<std::string> acquire_slot(host_state& host, std::string_view service,
                                        std::string_view excluded);

/// Releases the slot of an attempt that has ended and updates the endpoint's state by its result and latency.
void release_slot(host_state& host, std::string_view service, std::string_view address,
                  execution::attempt_result result, double latency_ms);

/// Updates an endpoint's state from the headers of its answer: x-load-percent and x-draining.
void apply_answer_headers(host_state& host, std::string_view address,
                          const std::vector<execution::header>& headers);

/// Applies an endpoint's report measured at `measured_at`, unless a newer one is known.
void apply_load_report(host_state& host, std::string_view address, const steering::endpoint_report& report,
                       common::time_point measured_at);

/// Replaces the services by those of a new configuration. Endpoints that stay keep their measured state.
void update_services(host_state& host, const catalog::configuration& configuration);

} // namespace lycheegap::host
