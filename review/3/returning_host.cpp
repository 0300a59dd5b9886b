// Three hosts, three workers and a tenant with a quota. The store turns one host away for 9 s. The tenant,
// quiet until then, sends many times its usual when the host comes back. Then: do more of its requests run in
// some quota_window_s than its quota allows?
#include "stand_ins/stand_in.h"

using namespace review;

namespace {

constexpr int hosts = 3;
constexpr double away_from = 6;   // platform_down, how = "nodes busy"
constexpr double away_until = 15; // for_s = 9, one of three hosts (share 0.33)
constexpr double hot_from = 14.7; // hot_tenant
constexpr double hot_until = 22;  // for_s = 7.3
constexpr double rate_per_s = 20;
constexpr double burst = 200;
constexpr double quota_window_s = 5;
constexpr double quota_overage = 0.1;
constexpr double quota_slack = 20;
// The usual load is a quota divided by 1.6 (quota_x of the site), 12.5 a second; 8 times that is 100. A
// client waits for its answer and then pauses.
constexpr int clients_per_host = 4;
constexpr double pause_s = 0.115;

const char* configuration =
    R"({"version":3,"resources":[)"
    R"({"resource_kind":"routes","metadata":{"name":"r-sheet"},"spec":{"host":"ficu95.example","prefix":"/sheet/","kind":"safe","service":"campo","timeout_s":1.2,"target_latency_s":0.2,"max_attempts":2,"priority":2}},)"
    R"({"resource_kind":"services","metadata":{"name":"campo"},"spec":{"health_path":"/health","max_connections":780,"cold_start_s":3.0,"cold_per_s":17.0}},)"
    R"({"resource_kind":"tenants","metadata":{"name":"huka270"},"spec":{"api_keys":["xd9dnn2ctnfzs989anu6"],"rate_per_s":20,"burst":200,"priority":0}},)"
    R"({"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";

struct run {
    double sent;
    double arrived;
};

std::atomic<int> next_id{0};
std::atomic<int> asked{0};
std::atomic<int> refused{0};
std::mutex mutex;
std::map<std::string, double> sent_at;
std::vector<run> runs;

void send_requests(const std::string& front, int number) {
    sleep_until(hot_from + 0.01 * number);
    while (elapsed() < hot_until) {
        const auto it = connect_to(front);
        const auto id = "q" + std::to_string(++next_id);
        {
            const std::lock_guard guard(mutex);
            sent_at[id] = elapsed();
        }
        ++asked;
        if (it &&
            it->send_all("GET /sheet/7 HTTP/1.1\r\nHost: ficu95.example\r\nLycheegap-Request-Id: " + id +
                         "\r\nLycheegap-Request-Deadline: 1200\r\nAuthorization: Bearer "
                         "xd9dnn2ctnfzs989anu6\r\n\r\n")) {
            const auto answer = it->read_message(1.2);
            const int status = answer ? answer->status() : 0;
            refused += status == 429 ? 1 : 0;
            record::line("request %s at %s: %d", id.c_str(), front.c_str(), status);
        }
        sleep_s(pause_s);
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 6) {
        return 2;
    }
    const std::string program = argv[1];
    const std::string folder = argv[2];
    const std::string network = argv[3];
    record::open(argv[4]);
    const bool trouble = std::string(argv[5]) != "0";
    static store entries;
    entries.turns_away = [&](const std::string& own_ip) {
        return trouble && own_ip == network + ".100" && elapsed() >= away_from && elapsed() < away_until;
    };
    for (int n = 0; n < hosts; ++n) {
        if (!entries.open(network + "." + std::to_string(100 + n) + ":8382")) {
            return 2;
        }
    }
    static std::deque<worker> workers(hosts);
    for (int n = 0; n < hosts; ++n) {
        auto& it = workers[static_cast<std::size_t>(n)];
        it.behave = [n](connection& from, const message& request, bool& go_on) {
            const auto id = request.header("Lycheegap-Request-Id");
            {
                const std::lock_guard guard(mutex);
                runs.push_back({sent_at[id], elapsed()});
            }
            record::line("worker i-%d runs %s", n, id.c_str());
            sleep_s(0.02);
            go_on = from.send_all(response_text(200, "answer to " + id, answer_headers(request)));
            return true;
        };
        if (!it.open(entries, {.id = "i-" + std::to_string(n),
                               .service = "campo",
                               .address = network + ".2:" + std::to_string(9000 + n),
                               .zone = "liberia-a",
                               .capacity = 40})) {
            return 2;
        }
    }
    entries.put("op/config", configuration);
    std::deque<process> running;
    for (int n = 0; n < hosts; ++n) {
        running.emplace_back(program, folder + "/host-" + std::to_string(n) + ".ini",
                             folder + "/host-" + std::to_string(n) + ".log");
        running.back().start();
    }
    std::vector<std::thread> clients;
    for (int n = 0; n < hosts * clients_per_host; ++n) {
        clients.emplace_back(send_requests, network + "." + std::to_string(10 + n % hosts) + ":8388", n);
    }
    for (auto& it : clients) {
        it.join();
    }
    for (auto& it : running) {
        it.end();
    }
    const std::lock_guard guard(mutex);
    const double allowed = (rate_per_s * quota_window_s + burst) * (1 + quota_overage) + quota_slack;
    int most = 0;
    double most_from = 0;
    for (const auto& first : runs) {
        const double from = first.sent;
        const auto inside = std::count_if(runs.begin(), runs.end(), [&](const run& it) {
            return it.sent >= from && it.arrived < from + quota_window_s;
        });
        if (inside > most) {
            most = static_cast<int>(inside);
            most_from = from;
        }
    }
    record::line(
        "%d requests sent, %d refused with 429; %d were sent and ran in the 5 s from %.2f, allowed %.0f",
        asked.load(), refused.load(), most, most_from, allowed);
    if (runs.empty()) {
        return 2;
    }
    const bool broken = most > allowed;
    record::line(broken ? "QUOTA is broken" : "QUOTA holds");
    std::fflush(nullptr);
    _exit(broken ? 1 : 0);
}
