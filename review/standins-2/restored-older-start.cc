// Case: an engine that started again is leaving, and the store comes back from a copy that shows its earlier
// start.
#include "harness.hh"

using namespace review;

namespace {

constexpr bounds limits;
constexpr std::int64_t pause_between_requests_ms = 120;
/// The store is away for this time.
constexpr std::int64_t away_ms = 500;
/// Time from the report that the engine leaves until the store goes away; the engine goes on serving.
constexpr std::int64_t leaving_before_drill_ms = 2500;
/// Engines write their entries about every `heartbeat_ms`, so the report is written again by then.
constexpr std::int64_t heartbeat_ms = 1200;

/// Time from the first answer that says that the engine leaves until the store has accepted its report.
constexpr std::int64_t report_delay_ms = 150;

struct answered_request {
    std::int64_t sent_at = 0;
    std::int64_t answered_at = 0;
    bool by_leaving = false;
};

} // namespace

int main(int, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    epoch();
    record log(std::string(argv[1]) + "/record.txt");
    const bool troubled = trouble();
    log.summary("a leaving engine and a store that comes back from a copy; trouble: %s",
                troubled ? "yes" : "no");
    const std::string folder = temporary_folder();
    int code = 2;
    store platform({"127.0.64.2", free_port("127.0.64.2")});
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 3; ++i) {
        engine_options options;
        options.id = "i-vault-" + std::to_string(i + 1);
        options.service = "bookings-app";
        options.zone = "caerdydd";
        options.work_ms = 100;
        const std::string ip = "127.0.64." + std::to_string(4 + i);
        engines.push_back(std::make_unique<engine>(address{ip, free_port(ip)}, options, log));
        platform.put("servers", engines.back()->id(), engines.back()->entry());
    }
    engine& leaver = *engines[0];
    platform.put("config", "main",
                 configuration(7, {route("r-hold", "/hold/", "non_idempotent", "bookings-app", 800, 1)},
                               {"bookings-app"}));
    entry_host one("edge-caerdydd-1", "127.0.64.10", "caerdydd", platform.at(), folder, limits, true);
    one.start();
    if (!one.wait_ready(10'000)) {
        log.summary("the machine did not become ready");
    } else {
        sleep_ms(1500);
        std::atomic<bool> done{false};
        std::mutex mutex;
        std::map<std::string, answered_request> requests;
        std::vector<std::thread> clients;
        for (int i = 0; i < 4; ++i) {
            clients.emplace_back([&] {
                std::int64_t next = now_ms();
                while (!done) {
                    const std::string id = unique_id();
                    const int fd = connect_to(one.front());
                    if (fd >= 0) {
                        set_receive_timeout(fd, 1500);
                        answered_request made;
                        made.sent_at = now_ms();
                        send_all(fd, request_bytes("POST", "/hold/x", id, 1500, "slot"));
                        reader in(fd);
                        const message answer = read_message(in, true);
                        made.answered_at = now_ms();
                        made.by_leaving = answer.complete && answer.header("Server-Leaving") == "1";
                        ::close(fd);
                        log.line("client sent %s at %lld, status %d%s", id.c_str(),
                                 static_cast<long long>(made.sent_at), answer.status,
                                 made.by_leaving ? ", by an engine that leaves" : "");
                        const std::lock_guard lock(mutex);
                        requests[id] = made;
                    }
                    next += pause_between_requests_ms;
                    sleep_until_ms(next);
                }
            });
        }
        sleep_ms(500);
        platform.make_copy();
        log.line("the copy of the store is made");
        sleep_ms(500);
        if (troubled) {
            leaver.crash();
            log.line("%s crashes", leaver.id().c_str());
            sleep_ms(300);
            leaver.start_again();
            platform.put("servers", leaver.id(), leaver.entry());
            log.line("%s is back under its id and says so in the store", leaver.id().c_str());
        }
        sleep_ms(1500);
        leaver.leave();
        sleep_ms(report_delay_ms);
        platform.put("servers", leaver.id(), leaver.entry("draining"));
        const std::int64_t acknowledged = now_ms();
        log.line("store acknowledges that %s is draining; its answers say Server-Leaving",
                 leaver.id().c_str());
        sleep_ms(leaving_before_drill_ms);
        if (troubled) {
            platform.go_away();
            log.line("the store is away");
            sleep_ms(away_ms);
            platform.come_back();
            log.line("the store is back from the copy, Store-Era 2");
            sleep_ms(heartbeat_ms);
            platform.put("servers", leaver.id(), leaver.entry("draining"));
            log.line("%s writes again that it is draining", leaver.id().c_str());
        } else {
            sleep_ms(away_ms + heartbeat_ms);
        }
        sleep_ms(1500);
        done = true;
        for (std::thread& each : clients) {
            each.join();
        }
        std::int64_t passed_on = 0;
        for (const auto& [id, each] : requests) {
            if (each.by_leaving && (passed_on == 0 || each.answered_at < passed_on)) {
                passed_on = each.answered_at;
            }
        }
        int broken = 0;
        std::int64_t last = 0;
        for (const arrival& each : leaver.arrivals()) {
            const auto known = requests.find(each.id);
            if (known == requests.end() || passed_on == 0 ||
                known->second.sent_at <= passed_on + limits.drain_ms) {
                continue;
            }
            ++broken;
            last = std::max(last, each.at);
            log.line("BROKEN: %s, sent %lld ms after the machine had passed on an answer with "
                     "Server-Leaving, reached %s",
                     each.id.c_str(), static_cast<long long>(known->second.sent_at - passed_on),
                     each.engine.c_str());
        }
        log.summary("requests sent: %zu; first answer with Server-Leaving passed on %lld ms after the "
                    "report; requests "
                    "sent later than drain_ms after it that reached the engine: %d",
                    requests.size(), static_cast<long long>(passed_on - acknowledged), broken);
        code = requests.size() < 100 || passed_on == 0 ? 2 : broken > 0 ? 1 : 0;
    }
    one.kill();
    finish(code, folder, log);
}
