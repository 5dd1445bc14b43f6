// The last attempt that a route allows is cancelled for its engine's silence, during a planned stop.
#include "bed.h"

using namespace bed;

namespace {

constexpr double event_s = 0.035;      // 7 tokens of 4.55 ms and a little more
constexpr unsigned tokens_per_event = 7;
constexpr double capacity = 60'000;    // tokens of memory of an engine
constexpr std::size_t queue_length = 2; // "queues a few more"
constexpr double read_per_s = 61'400;  // tokens; a decode engine reads at half the speed
constexpr double queries_from = 2.9, verdict_at = 4.0, stop_at = 16;
constexpr int queries = 16, verdict_tokens = 50'000;
constexpr double term_at = 4.3, grace_s = 8;

struct request {
    std::string id, machine, end = "open";
    bool urgent = false, complete = false, passed_on = false, engine_broke = false;
    double sent = 0, ended = 0;
    int status = 0;
    unsigned events = 0, seen = 0, refusals = 0;
};
std::map<std::string, request> requests;

/// One run at a decode engine.
struct run {
    conn to;
    std::string attempt;
    unsigned priority = 5, order = 0, next = 1, last = 0;
    double prompt = 0;
    bool reads = true; // its prompt isn't in memory yet
    double used() const { return prompt + static_cast<double>(next - 1) * tokens_per_event; }
};
using run_ptr = std::shared_ptr<run>;

class engine {
  public:
    std::string id, stage;
    std::size_t slots = 16;
    bool open(const std::string& ip, store* in) {
        m_store = in;
        m_server.handler = [this](const conn& to, const message& call) { receive(to, call); };
        if (!m_server.open(ip, 0)) {
            return false;
        }
        in->put("servers", id,
                {{"service", "restorer-assistant"}, {"address", m_server.address()}, {"zone", "kariakoo"}, {"version", "v1"}, {"slots", slots},
                 {"state", "ready"}, {"cold_remaining_ms", 0}, {"stage", stage}, {"sequence", 0}, {"born", m_born}});
        every(event_s, [this] {
            step();
            return now_s() < stop_at;
        });
        return true;
    }

  private:
    static std::set<std::string>& handles() {
        static std::set<std::string> all;
        return all;
    }
    void receive(const conn& to, const message& call) {
        const std::string target = call.target();
        const std::string attempt = call.field("Parsleypitch-Attempt-Id");
        const headers echo = {{"Parsleypitch-Attempt-Id", attempt}};
        const headers not_run = {{"Parsleypitch-Attempt-Id", attempt}, {"Parsleypitch-Not-Executed", "1"}};
        if (target.rfind("/kv-events", 0) == 0) {
            after(std::strtoul(call.field("Wait-Ms").c_str(), nullptr, 10) / 1000.0, [this, to] {
                to->respond(200, json{{"epoch", m_born}, {"next", 1}, {"lost", false}, {"events", json::array()}, {"born", m_born}}.dump());
            });
        } else if (target == "/report") {
            to->respond(200, json{{"stage", stage}, {"busy", false}, {"sequence", 0}, {"waiting", m_waiting.size()}, {"running", m_running.size()}, {"born", m_born}}.dump());
        } else if (target.rfind("/kv-handle/", 0) == 0) {
            to->respond(handles().erase(m_server.address() + target.substr(10)) > 0 ? 200 : 404, "");
        } else if (call.field("Parsleypitch-Target-Instance") != id) {
            to->respond(421, "", not_run);
        } else if (target == "/order") {
            to->respond(409, "");
        } else if (!call.field("Parsleypitch-Stage").empty()) {
            if (stage != "prefill") {
                to->respond(421, "", not_run);
                return;
            }
            // Prompts are read one after the other.
            m_read_until = std::max(m_read_until, now_s()) + std::strtod(call.field("Parsleypitch-Token-Counts").c_str(), nullptr) / read_per_s;
            after(m_read_until - now_s(), [this, to, echo] {
                const std::string handle = "h" + std::to_string(++m_handles);
                handles().insert(m_server.address() + "/" + handle);
                to->respond(200, json{{"kv_handle", handle}, {"tokens", 1}, {"version", 1}}.dump(), echo);
            });
        } else if (stage == "prefill") {
            to->respond(421, "", not_run);
        } else {
            arrive(to, call, attempt, not_run);
        }
    }
    void arrive(const conn& to, const message& call, const std::string& attempt, const headers& not_run) {
        const std::string source = call.field("Parsleypitch-Kv-Source");
        const std::string counts = call.field("Parsleypitch-Token-Counts");
        auto made = std::make_shared<run>();
        made->to = to;
        made->attempt = attempt;
        made->order = ++m_order;
        made->prompt = std::strtod(counts.c_str(), nullptr);
        made->last = static_cast<unsigned>(std::stoul(counts.substr(counts.find(',') + 1))) / tokens_per_event;
        made->next = 1 + static_cast<unsigned>(std::strtoul(call.field("Last-Event-Id").c_str(), nullptr, 10));
        made->priority = call.field("Parsleypitch-Request-Priority").empty() ? 5 : static_cast<unsigned>(std::stoul(call.field("Parsleypitch-Request-Priority")));
        made->reads = source.empty();
        if (m_waiting.size() >= queue_length || (!source.empty() && handles().erase(source) == 0)) {
            note("engine %s is full, refuses %s (503, not executed), %zu run, %zu wait", id.c_str(), attempt.c_str(), m_running.size(), m_waiting.size());
            ++requests[attempt].refusals;
            to->respond(503, "", not_run);
            return;
        }
        note("engine %s takes %s, from event %u, priority %u", id.c_str(), attempt.c_str(), made->next, made->priority);
        requests[attempt].passed_on = true;
        // Its connection closes: the engine drops the request.
        to->on_close = [this, made] {
            note("engine %s: the connection of %s was closed at event %u", id.c_str(), made->attempt.c_str(), made->next);
            std::erase(m_running, made);
            std::erase(m_waiting, made);
            admit();
        };
        m_waiting.push_back(made);
        admit();
    }
    double used() const {
        double sum = 0;
        for (const auto& each : m_running) {
            sum += each->used();
        }
        return sum;
    }
    /// The most urgent first, then the oldest.
    void admit() {
        std::stable_sort(m_waiting.begin(), m_waiting.end(), [](const run_ptr& a, const run_ptr& b) {
            return std::pair(a->priority, a->order) < std::pair(b->priority, b->order);
        });
        while (!m_waiting.empty() && make_room(*m_waiting.front())) {
            const run_ptr next = m_waiting.front();
            m_waiting.erase(m_waiting.begin());
            m_running.push_back(next);
            const double read = next->reads ? next->used() / (read_per_s / 2) : 0.02;
            next->reads = true; // as long as it is set, no event is made
            after(read, [next] { next->reads = false; });
        }
    }
    /// "More urgent requests are admitted first and preempt others": the newest of the least urgent ones.
    bool make_room(const run& next) {
        double free = capacity - used();
        std::vector<run_ptr> others;
        for (const run_ptr& each : m_running) {
            if (each->priority > next.priority) {
                others.push_back(each);
            }
        }
        std::sort(others.begin(), others.end(), [](const run_ptr& a, const run_ptr& b) {
            return std::pair(a->priority, a->order) > std::pair(b->priority, b->order);
        });
        const double wanted = next.used() + 480; // the urgent one and what it will make
        std::size_t count = 0;
        const auto fits = [&] { return free >= wanted && m_running.size() - count < slots; };
        while (!fits() && count < others.size()) {
            free += others[count++]->used();
        }
        if (!fits()) {
            return false;
        }
        for (std::size_t each = 0; each < count; ++each) {
            preempt(others[each]);
        }
        return true;
    }
    void preempt(const run_ptr& which) {
        note("engine %s preempts %s at event %u", id.c_str(), which->attempt.c_str(), which->next);
        std::erase(m_running, which);
        which->reads = true;
        m_waiting.push_back(which);
    }
    void step() {
        for (const run_ptr& each : std::vector<run_ptr>(m_running)) {
            if (each->reads || std::find(m_running.begin(), m_running.end(), each) == m_running.end()) {
                continue;
            }
            if (!m_begun.contains(each->to.get())) {
                m_begun.insert(each->to.get());
                each->to->begin(200, {{"Parsleypitch-Attempt-Id", each->attempt}, {"Parsleypitch-Response-Seal", "seal." + each->attempt + "." + id}, {"Content-Type", "text/event-stream"}});
            }
            each->to->chunk("id: " + std::to_string(each->next) + "\ndata: " + each->attempt + "/" + std::to_string(each->next) + "\n\n");
            ++each->next;
            if (each->next > each->last) {
                note("engine %s ends %s", id.c_str(), each->attempt.c_str());
                std::erase(m_running, each);
                m_begun.erase(each->to.get());
                each->to->end();
                continue;
            }
            // "When memory runs out, the newest of the least urgent requests is preempted".
            while (used() > capacity) {
                const auto worst = std::max_element(m_running.begin(), m_running.end(), [](const run_ptr& a, const run_ptr& b) {
                    return std::pair(a->priority, a->order) < std::pair(b->priority, b->order);
                });
                preempt(run_ptr(*worst));
            }
        }
        admit();
    }
    server m_server;
    store* m_store = nullptr;
    std::uint64_t m_born = unix_ms();
    std::vector<run_ptr> m_running, m_waiting;
    std::set<connection*> m_begun;
    unsigned m_order = 0, m_handles = 0;
    double m_read_until = 0;
};

json configuration() {
    const auto route = [](const char* name, const char* prefix, int timeout, int target, int priority) {
        return json{{"name", name}, {"host", "assist.example"}, {"path_prefix", prefix}, {"kind", "streaming"}, {"timeout_ms", timeout},
                    {"target_latency_ms", target}, {"priority", priority}, {"service", "restorer-assistant"}, {"max_attempts", 2},
                    {"sticky", true}, {"resumable", true}, {"target_gap_ms", 300}};
    };
    return {{"version", 7},
            {"routes", {route("dossier-verdict", "/verdict/", 6000, 800, 0), route("quick-part-query", "/query/", 8000, 3000, 2)}},
            {"services", {{{"name", "restorer-assistant"}, {"health_path", "/health"}, {"max_connections", 360}, {"protocol", "h1"}, {"tls", false},
                           {"engine", {{"slots", 64}, {"kv_capacity_tokens", capacity}, {"token_kv_bytes", 35136}, {"link_mbps", 330000.0}, {"stride", tokens_per_event}, {"most", 12}, {"kv_hold_s", 5.0}, {"switch_s", 3.0}, {"models", {{{"name", "m"}}}}}}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

void send(const host& to, bool urgent) {
    request r;
    r.id = random_id();
    r.machine = to.name;
    r.urgent = urgent;
    r.sent = now_s();
    r.events = urgent ? 68 : 100;
    const std::string id = r.id;
    requests[id] = r;
    const std::string body = "{\"prompt\":\"" + id + "\"}";
    const int prompt = urgent ? verdict_tokens : 1'460;
    const std::string bytes = std::string("POST ") + (urgent ? "/verdict/1" : "/query/1") + " HTTP/1.1\r\nHost: assist.example\r\nParsleypitch-Attempt-Id: " + id +
                              "\r\nParsleypitch-Model: m\r\nParsleypitch-Token-Counts: " + std::to_string(prompt) + "," + std::to_string(r.events * tokens_per_event) +
                              "\r\nParsleypitch-Prompt-Prefix: " + id + ":" + std::to_string(prompt) + "\r\nParsleypitch-Deadline-Ms: " + (urgent ? "6000" : "8000") +
                              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    note("caller sends %s (%s) to %s", id.c_str(), urgent ? "dossier-verdict" : "quick-part-query", to.name.c_str());
    auto call = std::make_shared<caller>();
    call->done = [id](const outcome& seen) {
        request& known = requests[id];
        known.status = seen.status;
        known.complete = seen.complete;
        known.end = seen.end;
        known.ended = now_s();
        known.seen = static_cast<unsigned>(std::count(seen.body.begin(), seen.body.end(), '/'));
        note("caller has of %s: status %d, %u of %u events, %s", id.c_str(), seen.status, known.seen, known.events,
             seen.complete ? "complete" : seen.end.c_str());
    };
    call->start(to.front, bytes, urgent ? 6 : 8);
}

} // namespace

int main(int argc, char** argv) {
    if (argc < 3) {
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    record_file = std::fopen(argv[2], "w");
    const bool trouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    scratch folder;
    store platform;
    platform.put("config", "main", configuration());
    std::vector<std::unique_ptr<engine>> engines;
    for (unsigned number = 1; number <= 3; ++number) {
        auto made = std::make_unique<engine>();
        made->id = "i-e0" + std::to_string(number);
        made->stage = number == 1 ? "prefill" : "decode";
        made->slots = number == 2 ? 4 : 16; // the first decode engine is a small one
        if (!made->open(address(100 + number), &platform)) {
            return 2;
        }
        engines.push_back(std::move(made));
    }
    std::vector<std::unique_ptr<host>> hosts;
    for (unsigned number = 1; number <= 2; ++number) {
        auto made = std::make_unique<host>();
        made->name = "edge-" + std::to_string(number);
        made->zone = "kariakoo";
        made->ip = address(10 + number);
        made->configure(folder.path, platform.open(address(1)), default_bounds(), true);
        if (!made->start(argv[1])) {
            return 2;
        }
        hosts.push_back(std::move(made));
    }
    double term = 0;
    // The queries of edge-2 fill the small engine; two of edge-1 come a little later.
    after(queries_from, [&] {
        for (int each = 0; each < queries; ++each) {
            after(0.02 * each, [&] { send(*hosts[1], false); });
        }
    });
    after(3.4, [&] { send(*hosts[0], false); });
    after(3.8, [&] { send(*hosts[0], false); });
    after(verdict_at, [&] { send(*hosts[1], true); });
    after(verdict_at + 0.1, [&] { send(*hosts[1], true); });
    if (trouble) {
        after(term_at, [&] {
            term = now_s();
            note("PLANNED SIGTERM to %s", hosts[0]->name.c_str());
            hosts[0]->signal(SIGTERM);
        });
        after(term_at + grace_s, [&] {
            if (!hosts[0]->ended()) {
                note("PLANNED SIGKILL after grace_s");
                hosts[0]->signal(SIGKILL);
            }
        });
    }
    bool alive = true;
    every(0.2, [&] {
        for (const auto& each : hosts) {
            alive = alive && (!each->ended() || (each == hosts[0] && term > 0));
        }
        return now_s() < stop_at;
    });
    after(stop_at, [] { io.stop(); });
    io.run();
    int broken = 0, cut = 0, served = 0;
    for (const auto& [id, r] : requests) {
        served += r.complete && r.status == 200;
        const bool ended_early = !r.complete && r.end != "gave up" && r.end != "no connection" && r.passed_on;
        const bool in_time = r.ended - r.sent < (r.urgent ? 6.0 : 8.0) - 0.1;
        cut += ended_early && in_time;
        const bool planned = term > 0 && r.machine == hosts[0]->name && r.ended >= term && r.ended <= term + grace_s + 1;
        // The engine at work in the last sixth of grace_s is an excuse.
        const bool last_sixth = r.ended >= term + grace_s * 5 / 6;
        if (ended_early && in_time && planned && !last_sixth) {
            note("LOST broken: %s at %s, sent %.2f, refused by %u engines, %u of %u events, ended %.2f (%s), %.2f s after SIGTERM, its engine had not broken off",
                 id.c_str(), r.machine.c_str(), r.sent, r.refusals, r.seen, r.events, r.ended, r.end.c_str(), r.ended - term);
            broken = 1;
        }
    }
    note("%d of %zu served, %d cut in all", served, requests.size(), cut);
    for (const auto& each : hosts) {
        if (std::getenv("KEEP") != nullptr) {
            std::fprintf(stderr, "%s\n", each->log().c_str());
        }
        each->kill_now();
    }
    if (!alive || served == 0) {
        note("the case could not run");
        return 2;
    }
    note(broken ? "the rule was broken" : "the rule held");
    std::fclose(record_file);
    return broken;
}
