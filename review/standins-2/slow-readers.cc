// Case: clients that read long answers slowly, and a planned stop of their machine.
#include "harness.hh"

using namespace review;

namespace {

constexpr std::size_t answer_bytes_sent = 3'900'000;
/// Clients read 400 KB a second, so that an answer takes 5 s; they wait 8 s.
constexpr std::size_t piece = 35'000;
constexpr std::int64_t pause_between_pieces_ms = 50;
constexpr std::int64_t deadline_ms = 8000;
constexpr int slow_clients = 4;
constexpr int quick_clients = 4;

struct outcome {
    std::string id;
    bool sent = false;
    std::int64_t sent_at = 0;
    std::int64_t ended_at = 0;
    int status = 0;
    std::size_t expected = 0;
    std::size_t received = 0;
    bool complete = false;
    bool intact = false;
};

outcome call(const address& to, const std::string& target, bool slow, record& log) {
    outcome made;
    made.id = unique_id();
    const int fd = connect_to(to, 1000, [slow](int socket) {
        if (slow) {
            // Segments and window as on a network, since the loopback's are far larger.
            const int segment = 1400;
            const int window = 32'768;
            ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        }
    });
    if (fd < 0) {
        return made;
    }
    set_receive_timeout(fd, deadline_ms);
    made.sent_at = now_ms();
    made.sent = send_all(fd, request_bytes("GET", target, made.id, deadline_ms));
    log.line("client sends %s %s to %s", made.id.c_str(), target.c_str(), to.str().c_str());
    reader in(fd);
    if (slow) {
        in.chunk = piece;
        in.pause_ms = pause_between_pieces_ms;
    }
    const message answer = read_message(in, true);
    made.ended_at = now_ms();
    made.status = answer.status;
    made.expected = std::strtoul(answer.header("content-length").c_str(), nullptr, 10);
    made.received = answer.body.size();
    made.complete = answer.complete;
    made.intact = answer.complete && answer.body == engine::body(made.id, made.expected);
    log.line("client got %s: status %d, %zu of %zu bytes, %s, after %lld ms", made.id.c_str(), made.status,
             made.received, made.expected, made.complete ? "complete" : "cut off",
             static_cast<long long>(made.ended_at - made.sent_at));
    ::close(fd);
    return made;
}

} // namespace

int main(int, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    epoch();
    record log(std::string(argv[1]) + "/record.txt");
    const bool troubled = trouble();
    log.summary("slow readers and a planned stop; trouble: %s", troubled ? "yes" : "no");
    const std::string folder = temporary_folder();
    int code = 2;
    {
        store platform({"127.0.61.2", free_port("127.0.61.2")});
        engine_options options;
        options.id = "i-vault-1";
        options.service = "bookings-app";
        options.zone = "caerdydd";
        options.answer_size = [](const std::string& target) {
            return target.find("/long") != std::string::npos ? answer_bytes_sent : std::size_t{800};
        };
        engine vault({"127.0.61.3", free_port("127.0.61.3")}, options, log);
        platform.put("servers", vault.id(), vault.entry());
        platform.put("config", "main",
                     configuration(7, {route("r-avail", "/avail/", "idempotent", "bookings-app", 8000, 2)},
                                   {"bookings-app"}));
        entry_host host("edge-caerdydd-1", "127.0.61.10", "caerdydd", platform.at(), folder, {}, true);
        host.start();
        if (!host.wait_ready(10'000)) {
            log.summary("the machine did not become ready");
        } else {
            std::vector<outcome> slow(slow_clients);
            std::vector<std::thread> clients;
            for (int i = 0; i < slow_clients; ++i) {
                clients.emplace_back([&, i] { slow[i] = call(host.front(), "/avail/long", true, log); });
            }
            sleep_ms(300);
            const std::int64_t stop_at = now_ms();
            if (troubled) {
                log.line("platform sends SIGTERM");
                host.signal(SIGTERM);
            }
            std::vector<outcome> quick(quick_clients);
            for (int i = 0; i < quick_clients; ++i) {
                clients.emplace_back([&, i] {
                    sleep_ms(300 * i);
                    quick[i] = call(host.front(), "/avail/short", false, log);
                });
            }
            std::int64_t ended_at = 0;
            int status = 0;
            while (troubled && now_ms() < stop_at + 8500) {
                if (host.ended(status)) {
                    ended_at = now_ms();
                    log.line("the process ended %lld ms after SIGTERM, status %d",
                             static_cast<long long>(ended_at - stop_at), status);
                    break;
                }
                sleep_ms(10);
            }
            for (std::thread& each : clients) {
                each.join();
            }
            int broken = 0;
            int usable = 0;
            for (const outcome& each : slow) {
                usable += each.sent && each.status == 200 ? 1 : 0;
                const bool in_time = each.ended_at - each.sent_at < deadline_ms;
                broken += each.sent && !each.complete && in_time ? 1 : 0;
                if (each.complete && !each.intact) {
                    ++broken;
                }
            }
            int quick_answered = 0;
            for (const outcome& each : quick) {
                quick_answered += each.complete ? 1 : 0;
            }
            log.summary(
                "long answers cut off before the client's deadline: %d of %d; short ones answered: %d of %d",
                broken, slow_clients, quick_answered, quick_clients);
            if (troubled && ended_at > 0) {
                log.summary("the process ended %lld ms after SIGTERM; the grace period is 8000 ms",
                            static_cast<long long>(ended_at - stop_at));
            }
            code = usable < slow_clients ? 2 : broken > 0 ? 1 : 0;
        }
        host.kill();
        finish(code, folder, log);
    }
}
