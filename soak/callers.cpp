#include "callers.hpp"

#include "engine_stand_in.hpp"
#include "names.hpp"

#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/http/client.hpp>

namespace parsleypitch::soak {

namespace {

namespace names = platform::names;

constexpr milliseconds readiness_period{500};
constexpr int failed_probes_to_exclude = 2;
constexpr milliseconds min_time_to_disconnect{20};
constexpr std::uint64_t disconnect_spread_ms = 300;
constexpr std::uint64_t disconnect_percent = 5;
constexpr std::uint64_t percent_scale = 100;
constexpr std::uint64_t shared_prefixes = 6;
constexpr std::uint64_t shared_prefix_tokens = 1500;
constexpr std::uint64_t unique_tokens = 300;
constexpr std::uint64_t min_events = 3;
constexpr std::uint64_t events_spread = 18;
constexpr std::size_t connections_to_host = 200;
constexpr unsigned status_ok = 200;

} // namespace

const std::vector<soak_route>& soak_routes() {
    static const std::vector<soak_route> routes = {
        {route_id("review"), "/ra/", request_kind::stream, true, 2},
        {route_id("summary"), "/rb/", request_kind::stream, false, 1},
        {route_id("hold"), "/rc/", request_kind::at_most_once, false, 1},
        {route_id("lookup"), "/rd/", request_kind::idempotent, false, 2},
    };
    return routes;
}

std::string changing_key(std::uint64_t version) {
    return "key-b-" + std::to_string(version);
}

struct callers::state : std::enable_shared_from_this<callers::state> {
    struct target {
        caller_target plan;
        incarnation process;
        int failed_probes = failed_probes_to_exclude;
        bool probe_pending = false;
    };

    state(asio::io_context& io, std::vector<caller_target> hosts, std::uint64_t rate, observations& sink,
          random_hook random_source)
        : context(&io), observed(&sink), random(std::move(random_source)),
          period(std::chrono::duration_cast<duration>(seconds(1)) / rate), client(io, http::client_limits{}) {
        for (caller_target& each : hosts) {
            targets.push_back({std::move(each), {}});
        }
    }

    void send_next() {
        if (stopped) {
            return;
        }
        send_one();
        start_timer(*context, period, [self = shared_from_this()] { self->send_next(); });
    }

    void probe_readiness() {
        for (target& each : targets) {
            if (std::exchange(each.probe_pending, true)) {
                ++each.failed_probes; // the previous probe is still unanswered
                continue;
            }
            http::request probe;
            probe.method = "GET";
            probe.target = "/ready";
            probe.headers.add("Host", each.plan.readiness.str());
            http::call_hooks hooks;
            hooks.matches_request = [](const http::response_head&) { return true; };
            hooks.head = [&each](const http::response_head& head) {
                each.failed_probes = head.status == status_ok ? 0 : each.failed_probes + 1;
            };
            hooks.end = [&each] { each.probe_pending = false; };
            hooks.failed = [&each](const error&) {
                ++each.failed_probes;
                each.probe_pending = false;
            };
            client.start(each.plan.readiness, http::serialize(probe), {}, std::move(hooks));
        }
        if (!stopped) {
            start_timer(*context, readiness_period, [self = shared_from_this()] { self->probe_readiness(); });
        }
    }

    [[nodiscard]] const target& choose() const {
        std::vector<const target*> ready;
        for (const target& each : targets) {
            if (each.failed_probes < failed_probes_to_exclude) {
                ready.push_back(&each);
            }
        }
        return ready.empty() ? targets[random(targets.size())] : *ready[random(ready.size())];
    }

    /// A request in flight.
    struct call {
        observed_request* request = nullptr;
        observed_answer answer;
        http::call_handle handle;
        timer_cancel disconnect_timer;
        bool completed = false;
    };

    void send_one() {
        const soak_route& route = soak_routes()[random(soak_routes().size())];
        const target& to = choose();
        observed_request made;
        made.id = request_id("r" + std::to_string(++sent));
        made.host = to.plan.id;
        made.process = to.process;
        made.route = route.id;
        made.kind = route.kind;
        made.resumable = route.resumable;
        made.max_attempts = route.max_attempts;
        made.sent = std::chrono::steady_clock::now();
        const http::request message = build_message(route, made);
        observed_request& request = observed->requests.emplace(made.id, std::move(made)).first->second;
        start(message, request, to.plan.callers);
    }

    /// Most callers use the key that all configurations hold. Some use the newest key of another account, and
    /// some one that has been removed.
    void choose_key(observed_request& request) const {
        constexpr std::uint64_t newest_key_period = 5;
        constexpr std::uint64_t removed_key_period = 9;
        const std::uint64_t newest = observed->configurations.back().version.value();
        request.has_lasting_key = false;
        if (sent % removed_key_period == 0 && newest > removed_key_age) {
            request.key = changing_key(newest - removed_key_age);
        } else if (sent % newest_key_period == 0) {
            request.key = changing_key(newest);
        } else {
            request.key = lasting_key;
            request.has_lasting_key = true;
        }
    }

    http::request build_message(const soak_route& route, observed_request& request) const {
        http::request message;
        message.method = route.kind == request_kind::idempotent ? "GET" : "POST";
        message.target = route.path_prefix + request.id.str() + "?from=soak";
        message.headers.add("Host", route_host);
        message.headers.add(std::string(names::attempt_id), request.id.str());
        message.headers.add(std::string(names::deadline), std::to_string(request_timeout.count()));
        if (route.kind != request_kind::idempotent) {
            message.body = "{\"asks\":\"" + request.id.str() + "\"}";
            message.headers.add("Content-Type", "application/json");
        }
        if (route.kind == request_kind::stream) {
            const std::uint64_t events = min_events + random(events_spread);
            request.prompt = "5" + std::to_string(random(shared_prefixes)) + ":" +
                             std::to_string(shared_prefix_tokens) + ",f" + std::to_string(sent) + ":" +
                             std::to_string(unique_tokens);
            message.headers.add(std::string(names::model), "m");
            message.headers.add(std::string(names::token_counts),
                                std::to_string(shared_prefix_tokens + unique_tokens) + "," +
                                    std::to_string(events));
            message.headers.add(std::string(names::prompt_parts), request.prompt);
            request.expected_body = stream_events(request.id, 1, events);
        } else {
            request.expected_body = plain_answer(request.id);
        }
        choose_key(request);
        message.headers.add(std::string(names::authorization),
                            std::string(names::key_scheme) + " " + request.key);
        request.method = message.method;
        request.target = message.target;
        request.body = message.body;
        return message;
    }

    void start(const http::request& message, observed_request& request, const endpoint& to) {
        const auto made = std::make_shared<call>();
        made->request = &request;
        const bool disconnects_early = random(percent_scale) < disconnect_percent;
        const duration time_to_disconnect =
            disconnects_early ? min_time_to_disconnect + milliseconds(random(disconnect_spread_ms))
                              : request_timeout;
        made->disconnect_timer = start_timer(*context, time_to_disconnect, [self = shared_from_this(), made] {
            if (!std::exchange(made->completed, true)) {
                made->handle.cancel();
                made->request->caller_disconnected_at = std::chrono::steady_clock::now();
            }
        });
        http::call_hooks hooks;
        hooks.matches_request = [](const http::response_head&) { return true; };
        hooks.head = [made, seen = observed](const http::response_head& head) {
            note_leaving(*seen, *made->request, head);
            made->answer.status = head.status;
            const std::string* id = head.headers.find(names::attempt_id);
            made->answer.foreign = id != nullptr && *id != made->request->id.str();
            made->answer.sealed = head.headers.find(names::seal) != nullptr;
        };
        hooks.body = [made](const std::string& part) { made->answer.body += part; };
        hooks.end = [made] { finish(made, true); };
        hooks.failed = [made](const error& why) {
            made->answer.unsent = http::nothing_was_sent(why);
            finish(made, false);
        };
        http::call_options options;
        options.max_connections = connections_to_host;
        made->handle = client.start(to, http::serialize(message), options, std::move(hooks));
    }

    /// Records that an answer which a host has passed on says that its server leaves.
    static void note_leaving(observations& seen, const observed_request& request,
                             const http::response_head& head) {
        if (head.headers.find(names::leaving) != nullptr && !request.runs.empty()) {
            seen.statements.push_back({request.runs.back().server, request.host, request.process,
                                       std::chrono::steady_clock::now(), std::nullopt});
        }
    }

    static void finish(const std::shared_ptr<call>& finished, bool complete) {
        if (std::exchange(finished->completed, true)) {
            return;
        }
        finished->disconnect_timer();
        finished->answer.complete = complete;
        finished->answer.at = std::chrono::steady_clock::now();
        finished->request->answer = std::move(finished->answer);
    }

    asio::io_context* context;
    observations* observed;
    random_hook random;
    duration period;
    http::client client;
    std::vector<target> targets;
    std::uint64_t sent = 0;
    bool stopped = false;
};

callers::callers(asio::io_context& context, std::vector<caller_target> hosts,
                 std::uint64_t requests_per_second, observations& observed, random_hook random)
    : m_state(std::make_shared<state>(context, std::move(hosts), requests_per_second, observed,
                                      std::move(random))) {
}

callers::~callers() {
    stop();
}

void callers::start() {
    m_state->probe_readiness();
    m_state->send_next();
}

void callers::stop() {
    m_state->stopped = true;
}

void callers::set_incarnation(const entry_host_id& host, incarnation process) {
    for (auto& each : m_state->targets) {
        if (each.plan.id == host) {
            each.process = process;
        }
    }
}

} // namespace parsleypitch::soak
