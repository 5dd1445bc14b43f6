// Case: engines leave, and the connections to the store fall silent.
#include "harness.hh"

using namespace review;

namespace {

constexpr bounds limits;
/// Pause between the engines that leave.
constexpr std::int64_t gap_ms = 330;
constexpr std::int64_t silent_after_ms = 20;
/// The bench counts the silence as a disruption of half a second; `contact_ms` begins after it.
constexpr std::int64_t disruption_ms = 500;
constexpr std::int64_t first_request_after_silence_ms = 4000;
constexpr std::int64_t pause_between_requests_ms = 100;
constexpr int requests_per_host = 20;

} // namespace

int main(int, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    epoch();
    record log(std::string(argv[1]) + "/record.txt");
    const bool troubled = trouble();
    log.summary("silent connections to the store while engines leave; trouble: %s", troubled ? "yes" : "no");
    const std::string folder = temporary_folder();
    int code = 2;
    store platform({"127.0.63.2", free_port("127.0.63.2")});
    relay to_store({"127.0.63.3", free_port("127.0.63.3")}, platform.at());
    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 0; i < 3; ++i) {
        engine_options options;
        options.id = "i-vault-" + std::to_string(i + 1);
        options.service = "bookings-app";
        options.zone = "caerdydd";
        const std::string ip = "127.0.63." + std::to_string(4 + i);
        engines.push_back(std::make_unique<engine>(address{ip, free_port(ip)}, options, log));
        platform.put("servers", engines.back()->id(), engines.back()->entry());
    }
    platform.put("config", "main",
                 configuration(7, {route("r-hold", "/hold/", "non_idempotent", "bookings-app", 800, 1)},
                               {"bookings-app"}));
    entry_host one("edge-caerdydd-1", "127.0.63.10", "caerdydd", to_store.at(), folder, limits, true);
    entry_host two("edge-wrecsam-1", "127.0.63.11", "wrecsam", to_store.at(), folder, limits, true);
    one.start();
    two.start();
    if (!one.wait_ready(10'000) || !two.wait_ready(10'000)) {
        log.summary("the machines did not become ready");
    } else {
        sleep_ms(2500);
        std::mutex mutex;
        std::map<std::string, std::int64_t> sent;
        int answered = 0;
        const auto call = [&](const entry_host& host) {
            const std::string id = unique_id();
            const int fd = connect_to(host.front());
            if (fd < 0) {
                return;
            }
            set_receive_timeout(fd, 1500);
            const std::int64_t sent_at = now_ms();
            send_all(fd, request_bytes("POST", "/hold/x", id, 1500, "slot"));
            reader in(fd);
            const message answer = read_message(in, true);
            ::close(fd);
            log.line("client sent %s to %s at %lld, status %d", id.c_str(), host.name().c_str(),
                     static_cast<long long>(sent_at), answer.status);
            const std::lock_guard lock(mutex);
            sent[id] = sent_at;
            answered += answer.complete && answer.status == 200 ? 1 : 0;
        };
        call(one);
        call(two);
        // Both leave without reporting it: their entries are removed, and they go on serving for a while.
        engines[1]->leave();
        platform.remove("servers", engines[1]->id());
        log.line("store acknowledges that %s is gone", engines[1]->id().c_str());
        sleep_ms(gap_ms);
        engines[0]->leave();
        platform.remove("servers", engines[0]->id());
        const std::int64_t acknowledged = now_ms();
        log.line("store acknowledges that %s is gone", engines[0]->id().c_str());
        sleep_ms(silent_after_ms);
        const std::int64_t trouble_at = now_ms();
        if (troubled) {
            log.line("%zu open connections to the store fall silent; new ones work", to_store.silence());
        }
        std::vector<std::thread> clients;
        for (const entry_host* host : {&one, &two}) {
            clients.emplace_back([&, host] {
                for (int i = 0; i < requests_per_host; ++i) {
                    sleep_until_ms(trouble_at + first_request_after_silence_ms +
                                   i * pause_between_requests_ms);
                    call(*host);
                }
            });
        }
        for (std::thread& each : clients) {
            each.join();
        }
        int broken = 0;
        for (const arrival& each : engines[0]->arrivals()) {
            if (each.at > acknowledged + limits.drain_ms &&
                each.at > trouble_at + disruption_ms + limits.contact_ms) {
                ++broken;
                log.line("BROKEN: %s reached %s %lld ms after the store had acknowledged that it is gone, "
                         "and %lld ms "
                         "after the silence began",
                         each.id.c_str(), each.engine.c_str(), static_cast<long long>(each.at - acknowledged),
                         static_cast<long long>(each.at - trouble_at));
            }
        }
        log.summary("requests sent: %zu, answered with success: %d; requests that reached the engine that is "
                    "gone: %d",
                    sent.size(), answered, broken);
        code = sent.size() < 20 ? 2 : broken > 0 ? 1 : 0;
    }
    one.kill();
    two.kill();
    finish(code, folder, log);
}
