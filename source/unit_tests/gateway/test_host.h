#pragma once

#include <memory>
#include <string>

#include "core/gateway/gateway.h"
#include "scripted_endpoint.h"

namespace lycheegap::gateway {

/// Options of a host with short times, in failure domain coast-1, with a retry budget that tests do not use
/// up.
gateway_options test_options();

/// A stop that is long compared with the delays of a loaded machine.
gateway_options options_with_long_stop();

/// Routes of one service, idempotent (/read/, /quick/, /patient/) and not (/book/, /pay/, /order/), for one
/// team with the key k1.
std::shared_ptr<traffic::configuration> test_configuration();

/// The entry of an endpoint of the service with six slots.
traffic::endpoint_entry entry_of(const scripted_endpoint& endpoint, std::string id);

/// A running gateway with the test configuration that is the only member of its fleet.
struct test_host {
    std::unique_ptr<running_gateway> running;

    explicit test_host(const gateway_options& options = test_options());
    test_host(const test_host&) = delete;
    test_host& operator=(const test_host&) = delete;
    test_host(test_host&&) = delete;
    test_host& operator=(test_host&&) = delete;
    ~test_host();

    void use(const scripted_endpoint& endpoint, const std::string& id = "e1") const;
    [[nodiscard]] std::string address() const;
};

/// A request whose caller waits for one second; `more` are further header lines.
std::string request_text(const std::string& path, const std::string& id, const std::string& more = "",
                         const std::string& method = "GET");

/// A request whose caller waits for `wait_ms`.
std::string patient_request_text(const std::string& path, const std::string& id,
                                 const std::string& method = "GET", int wait_ms = 5000);

} // namespace lycheegap::gateway
