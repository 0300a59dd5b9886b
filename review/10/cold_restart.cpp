// While the platform's store is down, a worker ends and starts again under its id and address: it is cold. Clients
// send as before.
#include "peer.h"

#include <deque>

using namespace review;

namespace {

constexpr int worker_count = 8;
constexpr int client_count = 88;
constexpr long pause_ms = 105; // of a client between two requests
constexpr long work_ms = 120;
constexpr double cold_per_s = 17;
constexpr double cold_bound = cold_per_s * 1.5 + 5; // cold_overage, cold_slack
constexpr std::size_t fatal_rate = 40;              // the rate "well above" at which a cold worker crashes
constexpr long cold_ms = 3000;                      // cold_start_s
constexpr long outage_ms = 4500;

recorder* record = nullptr;

struct arrivals {
    std::mutex mutex;
    std::deque<double> last_second;
    std::size_t most{0};
    double most_at{0};
};

arrivals cold_arrivals;
std::atomic<int> unsafe_lost{0};
std::atomic<bool> over{false};

bool serve(worker& self, int fd, const message& request) {
    if (request.header("lycheegap-target-instance") != self.id) {
        return send_all(fd, "HTTP/1.1 421 Misdirected Request\r\nLycheegap-Not-Executed: 1\r\nLycheegap-Request-Id: " +
                                request.header("lycheegap-request-id") + "\r\nContent-Length: 0\r\n\r\n");
    }
    if (unix_ms() < self.cold_until) {
        std::size_t count = 0;
        {
            const std::lock_guard guard(cold_arrivals.mutex);
            auto& seen = cold_arrivals.last_second;
            const double now = record->seconds();
            seen.push_back(now);
            while (seen.front() <= now - 1) {
                seen.pop_front();
            }
            count = seen.size();
            if (count > cold_arrivals.most) {
                cold_arrivals.most = count;
                cold_arrivals.most_at = now;
            }
        }
        record->line("worker %s, cold, gets %s (%zu in the last second)", self.id.c_str(),
                     request.header("lycheegap-request-id").c_str(), count);
        if (count >= fatal_rate && self.up) {
            record->line("worker %s crashes: too many requests while it is cold", self.id.c_str());
            self.crash();
            return false;
        }
    }
    sleep_ms(work_ms);
    return self.answer(fd, request, "done");
}

void run_client(const std::string& ip, int number) {
    std::optional<connection> it;
    for (int n = 0; !over; ++n) {
        sleep_ms(pause_ms);
        if (!it) {
            const int fd = connect_to(ip, 8388);
            if (fd < 0) {
                continue;
            }
            it.emplace(fd);
        }
        const bool is_unsafe = n % 3 == 0;
        const auto id = "c" + std::to_string(number) + "-" + std::to_string(n);
        send_all(it->fd, request_text(is_unsafe ? "POST" : "GET", is_unsafe ? "/girth/1" : "/plot/1", id,
                                      "Cookie: Lycheegap-Affinity-Key=" + std::to_string(number * 7 + n % 13) +
                                          (is_unsafe ? "\r\nContent-Length: 0\r\n" : "\r\n"),
                                      1500));
        message answer;
        const auto end = read_message(*it, answer, steady::now() + std::chrono::milliseconds(1500));
        if (end != read_end::data || answer.status() != 200) {
            record->line("client: %s, %s: %s %d", id.c_str(), is_unsafe ? "unsafe" : "safe", end_name(end),
                         answer.status());
            unsafe_lost += is_unsafe && (answer.status() == 502 || answer.status() == 504) ? 1 : 0;
        }
        if (end != read_end::data || answer.header("connection") == "close") {
            it.reset();
        }
    }
}

void set_outage(const std::string& ip, bool outage) {
    const int fd = connect_to(ip, 7000);
    if (fd >= 0) {
        connection it(fd);
        message answer;
        send_all(fd, std::string("POST /control?outage=") + (outage ? "1" : "0") +
                         " HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        read_message(it, answer, steady::now() + std::chrono::seconds(2));
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    recorder file(argv[1]);
    record = &file;
    const std::string network = argv[2];
    const bool trouble = std::string(argv[3]) != "0";
    std::vector<worker> workers(worker_count);
    for (int n = 0; n < worker_count; ++n) {
        auto& it = workers[static_cast<std::size_t>(n)];
        it.id = "i-" + std::to_string(n);
        it.service = "campo";
        it.zone = "liberia-a";
        it.ip = network + ".2";
        it.port = 7300 + n;
        it.store_ip = network + ".1";
        it.store_port = 7000;
        it.serve = serve;
        it.start();
    }
    if (!write_desired_state(network + ".1", 7000, argv[4])) {
        return 2;
    }
    for (int n = 1; n <= 2; ++n) {
        if (!wait_for_ok(network + "." + std::to_string(10 + n), 8384, "/api/readiness", 20)) {
            file.line("host %d is not ready", n);
            return 2;
        }
    }
    std::vector<std::thread> clients;
    for (int n = 0; n < client_count; ++n) {
        clients.emplace_back(run_client, network + "." + std::to_string(11 + n % 2), n);
    }
    sleep_ms(8000);
    auto& one = workers[0];
    if (trouble) {
        const bool outage = std::string(argv[3]) != "2"; // TROUBLE=2: the restart alone
        if (outage) {
            file.line("the store is down for %ld ms", outage_ms);
            set_outage(network + ".1", true);
            for (auto& it : workers) {
                it.reaches_store = false;
            }
        }
        sleep_ms(300);
        file.line("worker %s ends", one.id.c_str());
        one.crash();
        sleep_ms(700);
        one.cold_until = unix_ms() + cold_ms;
        one.start();
        file.line("worker %s starts again and is cold for %ld ms", one.id.c_str(), cold_ms);
        if (!outage) {
            one.write_entry(1000);
        }
        sleep_ms(outage_ms - 1000);
        if (outage) {
            set_outage(network + ".1", false);
            file.line("the store is back");
            for (auto& it : workers) {
                it.reaches_store = true;
            }
            one.write_entry(1000);
        }
    } else {
        sleep_ms(outage_ms);
    }
    sleep_ms(3000);
    over = true;
    for (auto& it : clients) {
        it.join();
    }
    file.line("the cold worker got up to %zu requests in one second, at %.3f s; the bound is %.1f; %d unsafe requests "
              "of clients ended with 502 or 504",
              cold_arrivals.most, cold_arrivals.most_at, cold_bound, unsafe_lost.load());
    std::fflush(file.out);
    std::_Exit(static_cast<double>(cold_arrivals.most) > cold_bound ? 1 : 0);
}
