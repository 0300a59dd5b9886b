#include "periodic.h"

#include "host_state.h"

namespace lycheegap::host {

namespace {

void repeat(host_state& host, common::milliseconds interval, void (*task)(host_state&)) {
    task(host);
    host.workers->submit_at(common::monotonic::now() + interval,
                            [&host, interval, task] { repeat(host, interval, task); });
}

} // namespace

void start_periodic(host_state& host, common::milliseconds interval, void (*task)(host_state&)) {
    host.workers->submit([&host, interval, task] { repeat(host, interval, task); });
}

} // namespace lycheegap::host
