#pragma once

#include "forwarder_harness.hpp"

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

namespace parsleypitch {

/// An arrival process of equal requests.
struct load_phase {
    duration length{0};
    double requests_per_second = 0;
};

/// A kind of request, served by the route of the same name.
struct load_kind {
    std::string name;
    unsigned urgency = 0;
    duration target{0};
    duration timeout{0};
};

/// One request of an account.
struct load_arrival {
    /// Time since the begin of the play.
    duration at{0};
    std::size_t kind = 0;
    std::size_t account = 0;
    std::int64_t tokens = 9000;
};

/// An engine that is gone for a time, counted from the begin of the play.
struct engine_loss {
    std::size_t engine = 0;
    duration from{0};
    duration until{0};
};

/// What the caller of one arrival got.
struct load_outcome {
    bool in_time = false;
    bool served = false;
    /// When the answer began or ended, since the arrival.
    duration took{0};
    duration retry_after{0};
};

/// What the callers of one phase or time window got.
struct load_result {
    unsigned asked = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;
    /// Refusals that took more than half of the timeout.
    unsigned slow_refusals = 0;
    /// Callers that left without an answer after the longest gap that they bear.
    unsigned left = 0;
};

/// Plays arrivals of generations against several forwarders, which share engines and exchange load reports,
/// with a manual clock.
class load_harness : public testing::Test {
  protected:
    static constexpr milliseconds target{250};
    static constexpr milliseconds timeout{2000};
    /// The delay of a report and its way to the other hosts.
    static constexpr milliseconds report_period{30};
    static constexpr std::int64_t prompt_tokens = 9000;

    /// Longest time without an event for which callers wait; empty for the timeout of their kind.
    std::optional<duration> m_event_gap;

    /// Starts the hosts and engines; `prefill_time` is the engine time of one prompt.
    /// @param kinds kinds of request; empty for a single one of priority 0
    /// @param accounts number of accounts in the configuration; 0 for none
    void start(std::size_t hosts, std::size_t engines, milliseconds prefill_time,
               std::vector<load_kind> kinds = {}, std::size_t accounts = 0) {
        m_prefill_time = prefill_time;
        m_kinds = kinds.empty() ? std::vector<load_kind>{{"review", 0, target, timeout}} : std::move(kinds);
        m_accounts = accounts;
        // Prompts of one length need no fixed time: the learnt speed includes it.
        m_setup_time = m_kinds.size() < 2
                           ? duration::zero()
                           : from_seconds(to_seconds(prefill_time) * placement_policy{}.prefill_setup_ms /
                                          modelled_ms(prompt_tokens));
        m_hosts.clear();
        m_metrics.clear();
        m_timers = {};
        m_running.clear();
        m_engine_free_at.clear();
        m_now += seconds(100); // decayed estimates of an earlier play must not matter
        auto fleet = std::make_shared<fleet_snapshot>();
        for (std::size_t i = 0; i < engines; ++i) {
            fleet->servers.push_back(engine("e" + std::to_string(i)));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            m_metrics.push_back(std::make_shared<metrics_registry>());
            m_hosts.push_back(std::make_unique<forwarder>(
                backend(), hooks(), forwarding_policy{}, availability_zone_id("z1"),
                std::make_shared<event_log>(event_log_options{.descriptor = -1}), m_metrics.back()));
            m_hosts.back()->adopt(routes());
            m_hosts.back()->adopt(std::shared_ptr<const fleet_snapshot>(fleet));
        }
        exchange_reports();
    }

    /// Plays the phases one after the other and returns what the callers of each got.
    std::vector<load_result> play(const std::vector<load_phase>& phases) {
        std::vector<std::vector<std::shared_ptr<caller>>> callers;
        for (const load_phase& phase : phases) {
            callers.emplace_back();
            const time_point end = m_now + phase.length;
            const duration gap = from_seconds(1 / phase.requests_per_second);
            for (time_point at = m_now; at < end; at += gap) {
                run_until(at);
                callers.back().push_back(ask());
            }
            run_until(end);
        }
        run_until(m_now + timeout + seconds(1));
        std::vector<load_result> results;
        results.reserve(callers.size());
        for (const auto& phase : callers) {
            results.push_back(summarise(phase));
        }
        return results;
    }

    /// Plays arrivals in the order of their times and returns what the caller of each got.
    std::vector<load_outcome> play_arrivals(const std::vector<load_arrival>& arrivals,
                                            const std::vector<engine_loss>& losses = {}) {
        const time_point begin = m_now;
        m_losses.clear();
        for (const engine_loss& loss : losses) {
            const endpoint lost("e" + std::to_string(loss.engine) + ":1");
            (void)at(begin + loss.from, [this, lost] { lose(lost); });
            (void)at(begin + loss.until, [this, lost] { m_losses.erase(lost); });
        }
        std::vector<std::shared_ptr<caller>> callers;
        callers.reserve(arrivals.size());
        for (const load_arrival& each : arrivals) {
            run_until(begin + each.at);
            callers.push_back(ask(each));
        }
        run_until(m_now + seconds(8));
        std::vector<load_outcome> outcomes;
        outcomes.reserve(arrivals.size());
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            const caller& each = *callers[i];
            const duration took =
                each.first_event_at.value_or(each.ended_at.value_or(time_point::max())) - each.asked_at;
            const bool served = each.first_event_at.has_value();
            outcomes.push_back(
                {served && took <= m_kinds[arrivals[i].kind].target, served, took, each.retry_after});
        }
        return outcomes;
    }

    /// Engine time of a prompt, by the shape of the cost model.
    [[nodiscard]] duration engine_time(std::int64_t tokens) const {
        return from_seconds(to_seconds(m_prefill_time) * modelled_ms(tokens) / modelled_ms(prompt_tokens));
    }

    /// The speed of the engines that each host has learnt, from its metrics.
    std::vector<double> time_factors() {
        std::vector<double> factors;
        factors.reserve(m_hosts.size());
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i]->publish_gauges();
            const std::string page = m_metrics[i]->exposition();
            const std::string name = "parsleypitch_engine_time_factor{service=\"model\"} ";
            factors.push_back(std::stod(page.substr(page.find("\n" + name) + name.size() + 1)));
        }
        return factors;
    }

  private:
    [[nodiscard]] duration event_gap_of(const load_kind& kind) const {
        return m_event_gap.value_or(kind.timeout);
    }

    /// A caller that records when its response arrives.
    struct caller final : http::exchange {
        caller(http::request sent, time_point at, const time_point& clock)
            : request(std::move(sent)), asked_at(at), now(&clock) {}

        http::request& message() override { return request; }
        time_point received_at() const override { return asked_at; }
        void on_disconnect(std::function<void()> hook) override { gone = std::move(hook); }
        void leave() {
            left = !first_event_at && !ended_at;
            if (left && gone) {
                std::exchange(gone, nullptr)();
            }
        }
        void respond(http::response answer) override {
            status = answer.head.status;
            ended_at = *now;
            if (const std::string* after = answer.head.headers.find("Retry-After")) {
                retry_after = from_seconds(std::stod(*after));
            }
        }
        void begin(const http::response_head& head) override {
            status = head.status;
            first_event_at = *now;
        }
        void write(std::string_view) override {}
        void end() override { ended_at = *now; }
        void abort() override { ended_at = *now; }

        http::request request;
        time_point asked_at;
        const time_point* now;
        unsigned status = 0;
        std::optional<time_point> first_event_at;
        std::optional<time_point> ended_at;
        std::function<void()> gone;
        bool left = false;
        duration retry_after{0};
    };
    /// A call that runs at an engine.
    struct running_call {
        http::call_hooks hooks;
        timer_cancel cancel;
    };
    struct timer {
        time_point at;
        std::uint64_t number;
        std::shared_ptr<std::function<void()>> task;

        bool operator>(const timer& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    static double modelled_ms(std::int64_t tokens) {
        const placement_policy model;
        const auto prompt = static_cast<double>(tokens);
        return prompt / model.prefill_tokens_per_ms +
               prompt * prompt / 2e6 * model.attention_ms_per_million_pairs;
    }

    static backend_server_entry engine(const std::string& id) {
        backend_server_entry made;
        made.id = backend_server_id(id);
        made.service = backend_service_id("model");
        made.address = endpoint(id + ":1");
        made.zone = availability_zone_id("z1");
        made.role = engine_role::mixed;
        made.slots = 64;
        return made;
    }

    std::shared_ptr<const route_table> routes() const {
        std::vector<route> all;
        for (const load_kind& kind : m_kinds) {
            route made;
            made.id = route_id(kind.name);
            made.host = "h";
            made.path_prefix = "/" + kind.name + "/";
            made.kind = request_kind::stream;
            made.timeout = kind.timeout;
            made.target_latency = kind.target;
            made.max_event_gap = event_gap_of(kind);
            made.urgency = kind.urgency;
            made.services = {{backend_service_id("model"), 1}};
            all.push_back(std::move(made));
        }
        backend_service model;
        model.id = backend_service_id("model");
        model.max_connections = 10'000;
        model.engine = engine_parameters{};
        std::vector<account_keys> accounts;
        for (std::size_t i = 0; i < m_accounts; ++i) {
            accounts.push_back(
                {{caller_id("a" + std::to_string(i)), std::nullopt}, {"k" + std::to_string(i)}});
        }
        return std::make_shared<const route_table>(
            config_version(1), std::move(all), std::vector<backend_service>{model}, caller_limits{},
            m_accounts == 0
                ? nullptr
                : std::make_shared<const account_table>(account_table::build(std::move(accounts)).value()));
    }

    static backend_protocol backend() {
        backend_protocol protocol;
        protocol.decode_call = [](http::request message) -> result<inbound_call> {
            inbound_call call;
            call.id = request_id(*message.headers.find("id"));
            call.host = "h";
            call.path = message.target;
            generation_work work;
            work.prompt = token_count(std::stoll(*message.headers.find("tokens")));
            call.key = *message.headers.find("key");
            work.parts = {{prompt_part_id(call.id.str()), work.prompt}};
            call.work = work;
            call.message = std::move(message);
            return call;
        };
        protocol.remove_credentials = [](inbound_call& call) { call.message.headers.remove("key"); };
        protocol.encode_attempt = [](const inbound_call& call, const attempt_spec&) { return call.message; };
        protocol.decode_response_head = [](const http::response_head& head) {
            return response_metadata{request_id(*head.headers.find("id")), true, false, {}};
        };
        protocol.encode_start_query = [] { return http::request{"GET", "/start", {}, "", true}; };
        protocol.decode_start = [](const std::string&) { return std::optional<incarnation>(); };
        protocol.encode_cache_query = [](cache_position, milliseconds) {
            return http::request{"GET", "/cache", {}, "", true};
        };
        protocol.mark_response = [](const request_id&, http::response_head&) {};
        return protocol;
    }

    forwarding_hooks hooks() {
        forwarding_hooks made;
        made.start_call = [this](const endpoint& to, const std::string& bytes, http::call_options,
                                 http::call_hooks call) {
            return bytes.find("tokens: ") != std::string::npos ? run_on_engine(to, bytes, std::move(call))
                                                               : http::call_handle();
        };
        made.start_timer = [this](duration delay, std::function<void()> task) {
            return at(m_now + delay, std::move(task));
        };
        made.now = [this] { return m_now; };
        made.random = [this](std::uint64_t bound) { return bound == 0 ? 0 : m_random() % bound; };
        return made;
    }

    timer_cancel at(time_point when, std::function<void()> task) {
        auto shared = std::make_shared<std::function<void()>>(std::move(task));
        m_timers.push({when, ++m_timer_count, shared});
        return [shared] { *shared = nullptr; };
    }

    /// The engine runs prompts one after the other and sends the only event when the prompt has been read.
    http::call_handle run_on_engine(const endpoint& to, const std::string& bytes, http::call_hooks call) {
        const std::size_t id_at = bytes.find("id: ") + 4;
        const std::string id = bytes.substr(id_at, bytes.find('\r', id_at) - id_at);
        const std::int64_t tokens = std::stoll(bytes.substr(bytes.find("tokens: ") + 8));
        if (m_losses.contains(to)) {
            return http::call_handle(at(m_now, [failed = std::move(call.failed)] {
                failed({fail(errc::backend_not_listening, "the engine is gone")});
            }));
        }
        time_point& free_at = m_engine_free_at[to];
        free_at = std::max(free_at, m_now) + engine_time(tokens);
        if (call.sent) {
            call.sent();
        }
        const std::uint64_t number = ++m_call_count;
        running_call& running = m_running[to][number];
        running.hooks = std::move(call);
        running.cancel = at(free_at + m_setup_time, [this, id, to, number] {
            const http::call_hooks hooks = std::move(m_running[to].extract(number).mapped().hooks);
            http::response_head head;
            head.status = 200;
            head.headers.add("id", id);
            hooks.head(head);
            hooks.body("id: 1\ndata: token\n\n");
            hooks.end();
        });
        return http::call_handle([this, to, number] {
            if (const auto ended = m_running[to].extract(number)) {
                ended.mapped().cancel();
            }
        });
    }

    /// Ends an engine and all of its calls.
    void lose(const endpoint& engine) {
        m_losses.insert(engine);
        m_engine_free_at.erase(engine);
        for (auto& [number, call] : std::exchange(m_running[engine], {})) {
            call.cancel();
            call.hooks.failed({fail(errc::backend_broken, "the engine has ended")});
        }
    }

    std::shared_ptr<caller> ask(const load_arrival& arrival = {}) {
        const std::string id = "r" + std::to_string(++m_asked);
        auto made = std::make_shared<caller>(http::request{"POST",
                                                           "/" + m_kinds[arrival.kind].name + "/1",
                                                           {{"host", "h"},
                                                            {"id", id},
                                                            {"tokens", std::to_string(arrival.tokens)},
                                                            {"key", "k" + std::to_string(arrival.account)}},
                                                           "body",
                                                           true},
                                             m_now, m_now);
        m_hosts[m_asked % m_hosts.size()]->handle(made);
        (void)at(m_now + event_gap_of(m_kinds[arrival.kind]), [made] { made->leave(); });
        return made;
    }

    void exchange_reports() {
        ++m_report_count;
        for (std::size_t from = 0; from < m_hosts.size(); ++from) {
            work_report report = m_hosts[from]->take_report();
            report.from = endpoint("host:" + std::to_string(from));
            report.number = report_number(m_report_count);
            for (std::size_t to = 0; to < m_hosts.size(); ++to) {
                if (to != from) {
                    m_hosts[to]->note_peer_report(report);
                }
            }
        }
        (void)at(m_now + report_period, [this] { exchange_reports(); });
    }

    void run_until(time_point until) {
        while (!m_timers.empty() && m_timers.top().at <= until) {
            const timer next = m_timers.top();
            m_timers.pop();
            m_now = std::max(m_now, next.at);
            if (*next.task) {
                std::exchange(*next.task, nullptr)();
            }
        }
        m_now = until;
    }

    static load_result summarise(const std::vector<std::shared_ptr<caller>>& callers) {
        load_result got;
        got.asked = static_cast<unsigned>(callers.size());
        for (const auto& each : callers) {
            if (each->left) {
                ++got.left;
            } else if (!each->first_event_at) {
                ++got.refused;
                const duration took = each->ended_at.value_or(time_point::max()) - each->asked_at;
                got.slow_refusals += took > timeout / 2 ? 1 : 0;
            } else if (*each->first_event_at - each->asked_at <= target) {
                ++got.in_time;
            } else {
                ++got.late;
            }
        }
        return got;
    }

    time_point m_now{seconds(1000)};
    milliseconds m_prefill_time{0};
    /// Time of a prefill during which the engine does other work.
    duration m_setup_time{0};
    std::vector<std::shared_ptr<metrics_registry>> m_metrics;
    std::vector<std::unique_ptr<forwarder>> m_hosts;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> m_timers;
    std::uint64_t m_timer_count = 0;
    std::uint64_t m_report_count = 0;
    std::uint64_t m_asked = 0;
    std::uint64_t m_call_count = 0;
    std::vector<load_kind> m_kinds;
    std::size_t m_accounts = 0;
    std::set<endpoint> m_losses;
    std::map<endpoint, std::map<std::uint64_t, running_call>> m_running;
    std::map<endpoint, time_point> m_engine_free_at;
    std::mt19937_64 m_random{1};
};

} // namespace parsleypitch
