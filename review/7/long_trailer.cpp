// A worker of one service spoils the end of one chunked answer: 70,000 bytes stand where the empty line after the
// last chunk is due. Meanwhile clients wait on kept connections for answers of sound workers of another service.
#include "peer.h"

using namespace review;

namespace {

constexpr int clients_per_host = 6;
constexpr int allowed_losses = 3; // LOST: more than three times
constexpr long work_ms = 1800;
constexpr long deadline_ms = 5000;
constexpr std::size_t spoiled_bytes = 70'000;

std::atomic<bool> trouble{true};
recorder* record = nullptr;
std::mutex runs_mutex;
std::map<std::string, std::string> runs; // request id -> worker

bool serve_sound(worker& self, int fd, const message& request) {
    const auto id = request.header("lycheegap-request-id");
    {
        const std::lock_guard guard(runs_mutex);
        runs[id] = self.id;
    }
    record->line("worker %s runs %s %s", self.id.c_str(), id.c_str(), request.path().c_str());
    if (request.path().find("work") != std::string::npos) {
        sleep_ms(work_ms);
    }
    return self.answer(fd, request, "plot sheet");
}

bool serve_faulty(worker& self, int fd, const message& request) {
    const auto id = request.header("lycheegap-request-id");
    record->line("worker %s runs %s and answers %s", self.id.c_str(), id.c_str(),
                 trouble ? "with a spoiled end" : "soundly");
    const std::string end = trouble ? "X-Rest: " + std::string(spoiled_bytes, 'a') + "\r\n\r\n" : "\r\n";
    return send_all(fd, "HTTP/1.1 200 OK\r\nLycheegap-Request-Id: " + id +
                            "\r\nLycheegap-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + self.load() +
                            "Transfer-Encoding: chunked\r\n\r\n7\r\narchive\r\n0\r\n" + end);
}

/// One kept connection: an answered request, then one that the worker works on while the trouble happens.
void wait_for_answer(const std::string& ip, int host, int number, std::atomic<int>& ready, std::atomic<bool>& go,
                     std::atomic<int>& lost) {
    const int fd = connect_to(ip, 8388);
    if (fd < 0) {
        return;
    }
    connection it(fd);
    const auto name = "h" + std::to_string(host) + "c" + std::to_string(number);
    const auto cookie = "Cookie: Lycheegap-Affinity-Key=" + std::to_string(host * 100 + number) + "\r\n";
    message first;
    send_all(fd, request_text("GET", "/plot/first", name + "-1", cookie, deadline_ms));
    if (read_message(it, first, steady::now() + std::chrono::seconds(5)) != read_end::data || first.status() != 200) {
        record->line("client %s: the first request was not answered", name.c_str());
        return;
    }
    ++ready;
    while (!go) {
        sleep_ms(5);
    }
    record->line("client %s sends %s-2 to host %d", name.c_str(), name.c_str(), host);
    send_all(fd, request_text("GET", "/plot/work", name + "-2", cookie, deadline_ms));
    message second;
    const auto end = read_message(it, second, steady::now() + std::chrono::milliseconds(deadline_ms));
    bool ran = false;
    {
        const std::lock_guard guard(runs_mutex);
        ran = runs.contains(name + "-2");
    }
    record->line("client %s: %s-2 ends: %s, status %d, %s", name.c_str(), name.c_str(), end_name(end),
                 second.status(), ran ? "passed on to a sound worker" : "not passed on");
    if (ran && (end == read_end::closed || end == read_end::reset)) {
        ++lost;
    }
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 6) {
        return 2;
    }
    recorder file(argv[1]);
    record = &file;
    const std::string network = argv[2];
    trouble = std::string(argv[3]) != "0";
    const int hosts = std::atoi(argv[5]);
    std::vector<worker> workers(3);
    for (int n = 0; n < 3; ++n) {
        auto& it = workers[static_cast<std::size_t>(n)];
        it.id = n == 2 ? "i-faulty" : "i-sound" + std::to_string(n);
        it.service = n == 2 ? "consulta" : "campo";
        it.zone = "liberia-a";
        it.ip = network + ".2";
        it.port = 7300 + n;
        it.store_ip = network + ".1";
        it.store_port = 7000;
        it.serve = n == 2 ? serve_faulty : serve_sound;
        it.start();
    }
    if (!write_desired_state(network + ".1", 7000, argv[4])) {
        file.line("the store does not take the desired state");
        return 2;
    }
    for (int n = 1; n <= hosts; ++n) {
        if (!wait_for_ok(network + "." + std::to_string(10 + n), 8384, "/api/readiness", 20)) {
            file.line("host %d is not ready", n);
            return 2;
        }
    }
    sleep_ms(5000); // stable_window_s and one more second
    std::atomic<int> ready{0};
    std::atomic<bool> go{false};
    std::vector<std::atomic<int>> lost(static_cast<std::size_t>(hosts));
    std::vector<std::thread> threads;
    for (int n = 1; n <= hosts; ++n) {
        for (int k = 0; k < clients_per_host; ++k) {
            threads.emplace_back(wait_for_answer, network + "." + std::to_string(10 + n), n, k, std::ref(ready),
                                 std::ref(go), std::ref(lost[static_cast<std::size_t>(n - 1)]));
        }
    }
    const auto until = steady::now() + std::chrono::seconds(8);
    while (ready < hosts * clients_per_host && steady::now() < until) {
        sleep_ms(20);
    }
    if (ready < hosts * clients_per_host) {
        go = true;
        for (auto& it : threads) {
            it.join();
        }
        return 2;
    }
    go = true;
    sleep_ms(400);
    // One safe request of another client; it repeats after a failure, on a new connection to the next host.
    for (int n = 1; n <= hosts; ++n) {
        const int fd = connect_to(network + "." + std::to_string(10 + n), 8388);
        connection it(fd);
        const auto id = "archive-" + std::to_string(n);
        file.line("client archive sends %s to host %d", id.c_str(), n);
        send_all(fd, request_text("GET", "/archive/1", id));
        message answer;
        const auto end = read_message(it, answer, steady::now() + std::chrono::seconds(5));
        file.line("client archive: %s ends: %s, status %d", id.c_str(), end_name(end), answer.status());
        if (end == read_end::data && answer.status() == 200) {
            break;
        }
        sleep_ms(200);
    }
    for (auto& it : threads) {
        it.join();
    }
    bool broken = false;
    for (int n = 1; n <= hosts; ++n) {
        const int count = lost[static_cast<std::size_t>(n - 1)];
        file.line("host %d: %d requests passed on to a sound worker from kept connections that it closed without an "
                  "answer; at most %d allowed",
                  n, count, allowed_losses);
        broken = broken || count > allowed_losses;
    }
    std::fflush(file.out);
    std::_Exit(broken ? 1 : 0);
}
