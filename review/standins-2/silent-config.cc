// Case: the connections to the store fall silent while configurations come in quick succession.
#include "harness.hh"

using namespace review;

namespace {

/// Bounds of desg-hud-grown.
constexpr bounds limits{4000, 3000, 3000, 8};
/// Pause between the two changes; the site file has 0.33 s and less.
constexpr std::int64_t gap_ms = 330;
constexpr std::int64_t silent_after_ms = 20;
constexpr std::int64_t pause_between_requests_ms = 25;
constexpr std::int64_t length_ms = 7500;
/// The bench counts the silence as a disruption of half a second; `contact_ms` begins after it.
constexpr std::int64_t disruption_ms = 500;
/// Time for the request to reach the machine.
constexpr std::int64_t slack_ms = 30;

struct sent_request {
    std::string id;
    std::string host;
    std::int64_t sent_at = 0;
    int status = 0;
    bool complete = false;
};

} // namespace

int main(int, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    epoch();
    record log(std::string(argv[1]) + "/record.txt");
    const bool troubled = trouble();
    log.summary("silent connections to the store between two configurations; trouble: %s",
                troubled ? "yes" : "no");
    const std::string folder = temporary_folder();
    int code = 2;
    {
        store platform({"127.0.62.2", free_port("127.0.62.2")});
        relay to_store({"127.0.62.3", free_port("127.0.62.3")}, platform.at());
        engine_options first;
        first.id = "i-old-1";
        first.service = "old-app";
        first.zone = "caerdydd";
        engine_options second = first;
        second.id = "i-new-1";
        second.service = "new-app";
        engine before({"127.0.62.4", free_port("127.0.62.4")}, first, log);
        engine after({"127.0.62.5", free_port("127.0.62.5")}, second, log);
        platform.put("servers", before.id(), before.entry());
        platform.put("servers", after.id(), after.entry());
        const json to_old = route("r-avail", "/avail/", "idempotent", "old-app", 800, 2);
        const json to_new = route("r-avail", "/avail/", "idempotent", "new-app", 800, 2);
        const json added = route("r-added", "/added/", "idempotent", "old-app", 800, 2);
        const std::vector<std::string> services = {"old-app", "new-app"};
        platform.put("config", "main", configuration(11, {to_old}, services));
        entry_host one("edge-caerdydd-1", "127.0.62.10", "caerdydd", to_store.at(), folder, limits, true);
        entry_host two("edge-wrecsam-1", "127.0.62.11", "wrecsam", to_store.at(), folder, limits, true);
        one.start();
        two.start();
        if (!one.wait_ready(10'000) || !two.wait_ready(10'000)) {
            log.summary("the machines did not become ready");
        } else {
            sleep_ms(3500);
            std::atomic<bool> done{false};
            std::mutex mutex;
            std::vector<sent_request> requests;
            std::vector<std::thread> clients;
            for (const entry_host* host : {&one, &two}) {
                clients.emplace_back([&, host] {
                    std::int64_t next = now_ms();
                    while (!done) {
                        sent_request made;
                        made.id = unique_id();
                        made.host = host->name();
                        const int fd = connect_to(host->front());
                        if (fd >= 0) {
                            set_receive_timeout(fd, 1500);
                            made.sent_at = now_ms();
                            send_all(fd, request_bytes("GET", "/avail/x", made.id, 1500));
                            reader in(fd);
                            const message answer = read_message(in, true);
                            made.status = answer.status;
                            made.complete = answer.complete;
                            ::close(fd);
                            log.line("client sent %s to %s at %lld, status %d", made.id.c_str(),
                                     made.host.c_str(), static_cast<long long>(made.sent_at), made.status);
                            const std::lock_guard lock(mutex);
                            requests.push_back(made);
                        }
                        next += pause_between_requests_ms;
                        sleep_until_ms(next);
                    }
                });
            }
            sleep_ms(500);
            platform.put("config", "main", configuration(12, {to_old, added}, services));
            log.line("store acknowledges configuration 12, which adds a route");
            sleep_ms(gap_ms);
            platform.put("config", "main", configuration(13, {to_new, added}, services));
            const std::int64_t acknowledged = now_ms();
            log.line("store acknowledges configuration 13, which moves /avail/ to new-app");
            sleep_ms(silent_after_ms);
            const std::int64_t trouble_at = now_ms();
            if (troubled) {
                log.line("%zu open connections to the store fall silent; new ones work", to_store.silence());
            }
            sleep_until_ms(acknowledged + length_ms);
            done = true;
            for (std::thread& each : clients) {
                each.join();
            }
            std::set<std::string> run_by_old;
            for (const arrival& each : before.arrivals()) {
                run_by_old.insert(each.id);
            }
            const std::int64_t bound = acknowledged + limits.config_apply_ms;
            const std::int64_t in_touch =
                troubled ? trouble_at + disruption_ms + limits.contact_ms + slack_ms : 0;
            int broken = 0;
            std::int64_t last = 0;
            std::size_t judged = 0;
            for (const sent_request& each : requests) {
                if (each.sent_at <= bound || each.sent_at <= in_touch) {
                    continue;
                }
                ++judged;
                if (run_by_old.contains(each.id)) {
                    ++broken;
                    last = std::max(last, each.sent_at);
                    log.line("BROKEN: %s, sent to %s %lld ms after the acknowledgement and %lld ms after the "
                             "silence began, ran at the old service",
                             each.id.c_str(), each.host.c_str(),
                             static_cast<long long>(each.sent_at - acknowledged),
                             static_cast<long long>(each.sent_at - trouble_at));
                }
            }
            log.summary(
                "requests sent by machines in touch later than config_apply_ms: %zu; run by the old service: "
                "%d, the last one %lld ms after the acknowledgement",
                judged, broken, broken > 0 ? static_cast<long long>(last - acknowledged) : 0LL);
            code = judged < 50 ? 2 : broken > 0 ? 1 : 0;
        }
        one.kill();
        two.kill();
        finish(code, folder, log);
    }
}
