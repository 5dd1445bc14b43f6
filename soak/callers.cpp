#include "callers.hpp"

#include "engine_stand_in.hpp"
#include "names.hpp"

#include <parsleypitch/core/timer.hpp>
#include <parsleypitch/http/client.hpp>

namespace parsleypitch::soak {

namespace {

namespace names = platform::names;

constexpr milliseconds readiness_period{500};
constexpr int misses_to_leave_out = 2;
constexpr milliseconds least_stay{20};
constexpr std::uint64_t stay_spread_ms = 300;
constexpr std::uint64_t leaving_percent = 5;
constexpr std::uint64_t percent_whole = 100;
constexpr std::uint64_t subjects = 6;
constexpr std::uint64_t shared_tokens = 1500;
constexpr std::uint64_t own_tokens = 300;
constexpr std::uint64_t least_events = 3;
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

struct callers::state : std::enable_shared_from_this<callers::state> {
    struct target {
        caller_target plan;
        incarnation process;
        int misses = misses_to_leave_out;
        bool asked = false;
    };

    state(asio::io_context& io, std::vector<caller_target> hosts, std::uint64_t rate, observations& records,
          random_hook draws)
        : context(&io), seen(&records), random(std::move(draws)),
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

    void ask_readiness() {
        for (target& each : targets) {
            if (std::exchange(each.asked, true)) {
                ++each.misses; // the question before is still unanswered
                continue;
            }
            http::request question;
            question.method = "GET";
            question.target = "/ready";
            question.headers.add("Host", each.plan.readiness.str());
            http::call_hooks hooks;
            hooks.matches_request = [](const http::response_head&) { return true; };
            hooks.head = [&each](const http::response_head& head) {
                each.misses = head.status == status_ok ? 0 : each.misses + 1;
            };
            hooks.end = [&each] { each.asked = false; };
            hooks.failed = [&each](const error&) {
                ++each.misses;
                each.asked = false;
            };
            client.start(each.plan.readiness, http::serialize(question), {}, std::move(hooks));
        }
        if (!stopped) {
            start_timer(*context, readiness_period, [self = shared_from_this()] { self->ask_readiness(); });
        }
    }

    [[nodiscard]] const target& choose() const {
        std::vector<const target*> ready;
        for (const target& each : targets) {
            if (each.misses < misses_to_leave_out) {
                ready.push_back(&each);
            }
        }
        return ready.empty() ? targets[random(targets.size())] : *ready[random(ready.size())];
    }

    /// One request from its sending to its answer.
    struct call {
        observed_request* request = nullptr;
        observed_answer answer;
        http::call_handle handle;
        timer_cancel leave;
        bool over = false;
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
        const http::request message = compose(route, made);
        observed_request& request = seen->requests.emplace(made.id, std::move(made)).first->second;
        start(message, request, to.plan.callers);
    }

    http::request compose(const soak_route& route, observed_request& request) const {
        http::request message;
        message.method = route.kind == request_kind::idempotent ? "GET" : "POST";
        message.target = route.path_prefix + request.id.str() + "?from=soak";
        message.headers.add("Host", route_host);
        message.headers.add(std::string(names::attempt_id), request.id.str());
        message.headers.add(std::string(names::deadline), std::to_string(caller_patience.count()));
        if (route.kind != request_kind::idempotent) {
            message.body = "{\"asks\":\"" + request.id.str() + "\"}";
            message.headers.add("Content-Type", "application/json");
        }
        if (route.kind == request_kind::stream) {
            const std::uint64_t events = least_events + random(events_spread);
            request.prompt = "5" + std::to_string(random(subjects)) + ":" + std::to_string(shared_tokens) +
                             ",f" + std::to_string(sent) + ":" + std::to_string(own_tokens);
            message.headers.add(std::string(names::model), "m");
            message.headers.add(std::string(names::token_counts),
                                std::to_string(shared_tokens + own_tokens) + "," + std::to_string(events));
            message.headers.add(std::string(names::prompt_parts), request.prompt);
            request.expected_body = stream_events(request.id, 1, events);
        } else {
            request.expected_body = plain_answer(request.id);
        }
        request.method = message.method;
        request.target = message.target;
        request.body = message.body;
        return message;
    }

    void start(const http::request& message, observed_request& request, const endpoint& to) {
        const auto made = std::make_shared<call>();
        made->request = &request;
        const bool leaves_early = random(percent_whole) < leaving_percent;
        const duration stay =
            leaves_early ? least_stay + milliseconds(random(stay_spread_ms)) : caller_patience;
        made->leave = start_timer(*context, stay, [self = shared_from_this(), made] {
            if (!std::exchange(made->over, true)) {
                made->handle.cancel();
                made->request->caller_left = std::chrono::steady_clock::now();
            }
        });
        http::call_hooks hooks;
        hooks.matches_request = [](const http::response_head&) { return true; };
        hooks.head = [made](const http::response_head& head) {
            made->answer.status = head.status;
            const std::string* id = head.headers.find(names::attempt_id);
            made->answer.foreign = id != nullptr && *id != made->request->id.str();
            made->answer.sealed = head.headers.find(names::seal) != nullptr;
        };
        hooks.body = [made](const std::string& part) { made->answer.body += part; };
        hooks.end = [made] { finish(made, true); };
        hooks.failed = [made](const error& why) {
            made->answer.unsent =
                why.code == errc::backend_unreachable || why.code == errc::backend_overloaded;
            finish(made, false);
        };
        http::call_options options;
        options.max_connections = connections_to_host;
        made->handle = client.start(to, http::serialize(message), options, std::move(hooks));
    }

    static void finish(const std::shared_ptr<call>& of, bool complete) {
        if (std::exchange(of->over, true)) {
            return;
        }
        of->leave();
        of->answer.complete = complete;
        of->answer.at = std::chrono::steady_clock::now();
        of->request->answer = std::move(of->answer);
    }

    asio::io_context* context;
    observations* seen;
    random_hook random;
    duration period;
    http::client client;
    std::vector<target> targets;
    std::uint64_t sent = 0;
    bool stopped = false;
};

callers::callers(asio::io_context& context, std::vector<caller_target> hosts,
                 std::uint64_t requests_per_second, observations& seen, random_hook random)
    : m_state(
          std::make_shared<state>(context, std::move(hosts), requests_per_second, seen, std::move(random))) {
}

callers::~callers() {
    stop();
}

void callers::start() {
    m_state->ask_readiness();
    m_state->send_next();
}

void callers::stop() {
    m_state->stopped = true;
}

void callers::note_process(const entry_host_id& host, incarnation process) {
    for (auto& each : m_state->targets) {
        if (each.plan.id == host) {
            each.process = process;
        }
    }
}

} // namespace parsleypitch::soak
