// Case: a request that takes down each engine that begins to run it, without closing its connections.
#include "harness.hh"

using namespace review;

namespace {

constexpr bounds limits;
/// Time until an engine is back.
constexpr std::int64_t down_ms = 2500;
constexpr std::int64_t deadly_period_ms = 800;
constexpr std::int64_t sound_period_ms = 60;
constexpr std::int64_t length_ms = 22'000;
constexpr int engine_count = 4;

struct arrival_of_deadly {
    std::int64_t at;
    std::string engine;
    std::string id;
};

/// An engine of a plain service that goes dark when it begins to run a request on /avail/deadly: nothing on
/// its connections is answered until it is back, under the same id and with a new `born`; then they are
/// reset.
class fragile_engine {
  public:
    fragile_engine(address at, std::string id, bool fragile, bool resets, store& platform, record& log)
        : m_id(std::move(id)), m_fragile(fragile), m_resets(resets), m_platform(&platform), m_log(&log),
          m_listener(std::move(at), [this](int fd) { serve(fd); }) {
        write_entry();
    }
    [[nodiscard]] std::vector<arrival_of_deadly> deadly() const {
        const std::lock_guard lock(m_mutex);
        return m_deadly;
    }
    [[nodiscard]] std::vector<std::int64_t> crashes() const {
        const std::lock_guard lock(m_mutex);
        return m_crashes;
    }

  private:
    void write_entry() {
        m_platform->put("servers", m_id,
                        {{"service", "bookings-app"},
                         {"address", m_listener.at().str()},
                         {"zone", "caerdydd"},
                         {"version", "v1"},
                         {"slots", 6},
                         {"state", "ready"},
                         {"cold_remaining_ms", 0},
                         {"sequence", 1},
                         {"born", m_born.load()}});
    }
    void crash() {
        {
            const std::lock_guard lock(m_mutex);
            if (m_down) {
                return;
            }
            m_down = true;
            m_crashes.push_back(now_ms());
        }
        m_log->line("%s goes dark", m_id.c_str());
        if (m_resets) {
            reset_connections();
        }
        std::thread([this] {
            sleep_ms(down_ms);
            reset_connections();
            m_born += 1000;
            {
                const std::lock_guard lock(m_mutex);
                m_down = false;
            }
            write_entry();
            m_log->line("%s is back", m_id.c_str());
        }).detach();
    }
    void reset_connections() {
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_connections) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    bool is_down() const {
        const std::lock_guard lock(m_mutex);
        return m_down;
    }
    void serve(int fd) {
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(fd);
        }
        answer_requests(fd);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
    }
    void answer_requests(int fd) {
        reader in(fd);
        while (true) {
            const message call = read_message(in, false);
            if (!call.complete) {
                return;
            }
            const std::string id = call.header("Parsleypitch-Attempt-Id");
            const std::int64_t crashes_before = static_cast<std::int64_t>(crashes().size());
            if (!is_down() && call.target == "/avail/deadly") {
                {
                    const std::lock_guard lock(m_mutex);
                    m_deadly.push_back({now_ms(), m_id, id});
                }
                m_log->line("%s begins to run the deadly request %s", m_id.c_str(), id.c_str());
                if (m_fragile) {
                    crash();
                }
            }
            if (!is_down()) {
                sleep_ms(20);
            }
            // The work of before is gone after a crash.
            while (is_down()) {
                sleep_ms(10);
            }
            if (static_cast<std::int64_t>(crashes().size()) != crashes_before) {
                return;
            }
            if (call.target == "/report") {
                send_all(fd, answer_bytes(200, {}, json{{"born", m_born.load()}}.dump()));
                continue;
            }
            if (!send_all(fd, answer_bytes(200,
                                           {{"Parsleypitch-Attempt-Id", id},
                                            {"Parsleypitch-Response-Seal", "seal." + id}},
                                           engine::body(id, 800)))) {
                return;
            }
        }
    }
    std::string m_id;
    bool m_fragile;
    bool m_resets;
    store* m_platform;
    record* m_log;
    std::atomic<std::uint64_t> m_born{1796590000000ULL};
    bool m_down = false;
    std::set<int> m_connections;
    std::vector<arrival_of_deadly> m_deadly;
    std::vector<std::int64_t> m_crashes;
    mutable std::mutex m_mutex;
    listener m_listener;
};

} // namespace

int main(int, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    epoch();
    record log(std::string(argv[1]) + "/record.txt");
    const bool troubled = trouble();
    const char* how = std::getenv("HOW");
    const bool resets = how != nullptr && std::string(how) == "reset";
    log.summary("a request that takes engines down%s; trouble: %s",
                resets ? ", which reset their connections" : "", troubled ? "yes" : "no");
    const std::string folder = temporary_folder();
    int code = 2;
    store platform({"127.0.65.2", free_port("127.0.65.2")});
    std::vector<std::unique_ptr<fragile_engine>> engines;
    for (int i = 0; i < engine_count; ++i) {
        const std::string ip = "127.0.65." + std::to_string(4 + i);
        engines.push_back(std::make_unique<fragile_engine>(
            address{ip, free_port(ip)}, "i-vault-" + std::to_string(i + 1), troubled, resets, platform, log));
    }
    platform.put("config", "main",
                 configuration(7, {route("r-avail", "/avail/", "idempotent", "bookings-app", 800, 2)},
                               {"bookings-app"}));
    entry_host one("edge-caerdydd-1", "127.0.65.10", "caerdydd", platform.at(), folder, limits, true);
    entry_host two("edge-wrecsam-1", "127.0.65.11", "wrecsam", platform.at(), folder, limits, true);
    one.start();
    two.start();
    if (!one.wait_ready(10'000) || !two.wait_ready(10'000)) {
        log.summary("the machines did not become ready");
    } else {
        sleep_ms(3500);
        const std::int64_t begun = now_ms();
        std::atomic<int> sound{0};
        std::atomic<int> sound_answered{0};
        std::atomic<int> deadly_sent{0};
        const auto call = [&](const entry_host& host, const std::string& target) {
            const std::string id = unique_id();
            const int fd = connect_to(host.front());
            if (fd < 0) {
                return 0;
            }
            set_receive_timeout(fd, 1500);
            send_all(fd, request_bytes("GET", target, id, 1500));
            reader in(fd);
            const message answer = read_message(in, true);
            ::close(fd);
            if (target == "/avail/deadly") {
                log.line("client sent the deadly request %s to %s, status %d", id.c_str(),
                         host.name().c_str(), answer.status);
            }
            return answer.complete ? answer.status : 0;
        };
        std::vector<std::thread> clients;
        for (const entry_host* host : {&one, &two}) {
            clients.emplace_back([&, host] {
                for (std::int64_t at = begun; at < begun + length_ms; at += sound_period_ms) {
                    sleep_until_ms(at);
                    ++sound;
                    sound_answered += call(*host, "/avail/x") == 200 ? 1 : 0;
                }
            });
        }
        clients.emplace_back([&] {
            for (std::int64_t at = begun + 500; at < begun + length_ms - 2000; at += deadly_period_ms) {
                sleep_until_ms(at);
                ++deadly_sent;
                (void)call(deadly_sent % 2 == 0 ? one : two, "/avail/deadly");
            }
        });
        for (std::thread& each : clients) {
            each.join();
        }
        std::vector<std::int64_t> crashes;
        std::vector<arrival_of_deadly> arrivals;
        for (const auto& each : engines) {
            const auto more = each->crashes();
            crashes.insert(crashes.end(), more.begin(), more.end());
            const auto reached = each->deadly();
            arrivals.insert(arrivals.end(), reached.begin(), reached.end());
        }
        std::sort(crashes.begin(), crashes.end());
        int late = 0;
        for (const arrival_of_deadly& each : arrivals) {
            if (troubled && crashes.size() >= 3 && each.at > crashes[2] + limits.contact_ms) {
                ++late;
                log.line("LATE: %s reached %s %lld ms after the third engine had ended", each.id.c_str(),
                         each.engine.c_str(), static_cast<long long>(each.at - crashes[2]));
            }
        }
        log.summary("deadly requests sent: %d, begun by engines: %zu, engines ended: %zu; begun later than "
                    "contact_ms "
                    "after the third end: %d (3 allowed); sound requests answered: %d of %d",
                    deadly_sent.load(), arrivals.size(), crashes.size(), late, sound_answered.load(),
                    sound.load());
        code = arrivals.empty() || (troubled && crashes.size() < 3) ? 2 : late > 3 ? 1 : 0;
    }
    one.kill();
    two.kill();
    finish(code, folder, log);
}
