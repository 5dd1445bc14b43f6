#include "forwarder_harness.hpp"

#include <array>

namespace parsleypitch {

/// Injects engine faults into the attempts at a request on every kind of route, and checks the response to
/// the caller against what the engines ran.
class forwarder_fault_fixture : public forwarder_harness {
  protected:
    /// Behaviour of an engine in one attempt.
    struct engine_fault {
        const char* name;
        /// The request may have run; a prefill never runs it.
        bool may_have_run;
        bool streams_only;
        std::function<void(forwarder_fault_fixture&)> inject;
    };

    static const std::vector<engine_fault>& faults() {
        using fixture = forwarder_fault_fixture;
        static const std::vector<engine_fault> all = {
            {"none", true, false, [](fixture& f) { f.succeed(); }},
            {"unreachable", false, false, [](fixture& f) { f.fail_call(errc::backend_unreachable); }},
            {"no_connection_free", false, false, [](fixture& f) { f.fail_call(errc::backend_overloaded); }},
            {"broken_before_head", true, false, [](fixture& f) { f.fail_after_send(); }},
            {"refused_not_run", false, false,
             [](fixture& f) {
                 f.respond(503, {{"not-run", "1"}}, "");
             }},
            {"misdirected", false, false, [](fixture& f) { f.respond(421, {}, ""); }},
            {"failed", true, false,
             [](fixture& f) {
                 f.respond(500, {{"seal", "s"}}, "failed");
             }},
            {"unproved_promise", true, false,
             [](fixture& f) {
                 f.respond(503, {{"seal", "s"}}, "failed");
             }},
            {"not_found", true, false,
             [](fixture& f) {
                 f.respond(404, {{"seal", "s"}}, "no such path");
             }},
            {"success_without_seal", true, false, [](fixture& f) { f.respond(200, {}, "ok"); }},
            {"broken_after_head", true, false, [](fixture& f) { f.fail_after_body(""); }},
            {"broken_within_event", true, true,
             [](fixture& f) { f.fail_after_body(events(1, 1) + "id: 2\nda"); }},
            {"broken_after_event", true, true, [](fixture& f) { f.fail_after_body(events(1, 2)); }},
            {"gap", true, true, [](fixture& f) { f.send_body(events(1, 1) + events(3, 3)); }},
            {"endless_event", true, true,
             [](fixture& f) { f.send_body(events(1, 1) + "id: 2\ndata: " + std::string(2'000'000, 'x')); }},
            {"endless_failure", true, false,
             [](fixture& f) {
                 f.respond(500, {{"seal", "s"}}, std::string(5'000'000, 'x'));
             }},
            {"ended_within_event", true, true,
             [](fixture& f) {
                 f.send_body(events(1, 1) + "id: 2\nda");
                 f.end_call();
             }},
            {"silent", true, false, [](fixture& f) { f.call(); }},
            {"silent_after_event", true, true, [](fixture& f) { f.send_body(events(1, 1)); }},
        };
        return all;
    }

    struct route_case {
        const char* path;
        bool streams;
        bool repeatable;
        std::size_t max_attempts;
    };
    static constexpr std::array<route_case, 5> routes = {{{"/once/1", false, false, 2},
                                                          {"/again/1", false, true, 2},
                                                          {"/stream/1", true, false, 2},
                                                          {"/resume/1", true, true, 2},
                                                          {"/single/1", true, false, 1}}};
    static constexpr unsigned last_event = 3;

    static std::string events(unsigned first, unsigned last) {
        std::string text;
        for (unsigned number = first; number <= last; ++number) {
            text += "id: " + std::to_string(number) + "\ndata: x\n\n";
        }
        return text;
    }

    [[nodiscard]] bool is_prefill_attempt() const { return m_calls.back()->has("stage: prefill"); }
    void end_call() {
        recorded_call& newest = *m_calls.back();
        if (!newest.over) {
            newest.over = true;
            const auto end = newest.hooks.end;
            end();
        }
    }
    void send_body(const std::string& body) {
        const http::call_hooks hooks = call().hooks;
        const auto sent = m_calls.back();
        hooks.head(head(200, {{"seal", "s"}}));
        if (!sent->over && !body.empty()) {
            hooks.body(body);
        }
    }
    void fail_after_send() {
        call();
        fail_call(errc::backend_broken);
    }
    void fail_after_body(const std::string& body) {
        const auto sent = m_calls.back();
        send_body(body);
        if (!sent->over && sent == m_calls.back()) {
            fail_call(errc::backend_broken);
        }
    }
    /// Responds as an engine without a fault does.
    void succeed() {
        if (is_prefill_attempt()) {
            respond(200, {}, "handle");
            return;
        }
        if (!m_streams) {
            respond_sealed("ok");
            return;
        }
        const std::string& bytes = call().bytes;
        const std::size_t resumed = bytes.find("resume-after: ");
        const unsigned after =
            resumed == std::string::npos ? 0 : static_cast<unsigned>(bytes[resumed + 14] - '0');
        send_body(events(after + 1, last_event));
        end_call();
    }

    /// Whether the latest call is still to be handled; releases of KV caches do not count.
    [[nodiscard]] bool has_pending_call() const {
        return m_calls.size() > m_handled_calls && !m_calls.back()->over && !m_calls.back()->has("DELETE");
    }

    /// Injects the faults into the attempts at a request one by one; later attempts succeed.
    void inject(const route_case& route, const std::vector<const engine_fault*>& fault_sequence,
                std::optional<std::size_t> disconnect_after = std::nullopt) {
        m_streams = route.streams;
        m_caller = send(route.path, route.streams ? std::vector<http::header_field>{{"prompt", "20000"}}
                                                  : std::vector<http::header_field>{});
        std::size_t step = 0;
        while (m_caller->final_responses == 0) {
            if (disconnect_after == step) {
                m_caller->disconnect();
                m_disconnected = true;
                m_calls_at_disconnect = m_calls.size();
                break;
            }
            if (!has_pending_call()) {
                const std::size_t before = m_calls.size();
                advance_time(milliseconds(100));
                if (m_calls.size() == before && m_now > m_case_start + seconds(5)) {
                    break;
                }
                continue;
            }
            m_handled_calls = m_calls.size();
            const engine_fault& fault =
                step < fault_sequence.size() ? *fault_sequence[step] : faults().front();
            ++step;
            const auto& sent = m_calls.back();
            if (!is_prefill_attempt() && fault.may_have_run) {
                ++m_runs;
                m_run_by.push_back(sent->to);
            }
            fault.inject(*this);
        }
        advance_time(seconds(5));
    }

    void check(const route_case& route) const {
        EXPECT_EQ(m_forwarder->open_requests(), 0U);
        for (const auto& each : m_calls) {
            EXPECT_TRUE(each->over || each->has("DELETE")) << "call to " << each->to << " was not ended";
        }
        if (m_disconnected) {
            for (std::size_t i = m_calls_at_disconnect; i < m_calls.size(); ++i) {
                EXPECT_TRUE(m_calls[i]->has("DELETE")) << "sent after the caller disconnected";
            }
            return;
        }
        EXPECT_EQ(m_caller->final_responses, 1);
        EXPECT_LE(m_run_by.size(), route.max_attempts);
        if (!route.repeatable) {
            EXPECT_LE(m_runs, 1U);
        }
        check_response(route);
    }

    void check_response(const route_case& route) const {
        const unsigned status = m_caller->status;
        if (status == 503 || status == 429) {
            EXPECT_TRUE(route.repeatable || m_runs == 0) << "refused although it may have run";
            EXPECT_NE(m_caller->head.headers.find("Retry-After"), nullptr);
        }
        if (status == 200 && route.streams) {
            const std::string whole = events(1, last_event);
            EXPECT_EQ(m_caller->body, m_caller->ended ? whole : whole.substr(0, m_caller->body.size()));
            EXPECT_EQ(m_caller->body.size() % events(1, 1).size(), 0U) << "incomplete event";
            EXPECT_NE(m_caller->ended, m_caller->aborted);
        } else if (route.streams) {
            EXPECT_FALSE(m_caller->streaming) << "a failure in the middle of a stream";
        } else if (status == 200) {
            EXPECT_EQ(m_caller->body, "ok");
        }
    }

    /// Runs one case on a new forwarder.
    void run_case(const route_case& route, const std::vector<const engine_fault*>& fault_sequence,
                  bool with_prefill, std::optional<std::size_t> disconnect_after = std::nullopt) {
        const auto applies = [&route](const engine_fault* each) {
            return route.streams || !each->streams_only;
        };
        if (!std::all_of(fault_sequence.begin(), fault_sequence.end(), applies)) {
            return;
        }
        std::string name = route.path;
        for (const engine_fault* each : fault_sequence) {
            name += std::string(" ") + each->name;
        }
        const testing::ScopedTrace trace(__FILE__, __LINE__, name);
        m_calls.clear();
        m_timers.clear();
        m_cache_queries.clear();
        m_run_by.clear();
        m_handled_calls = 0;
        m_runs = 0;
        m_disconnected = false;
        m_case_start = m_now;
        forwarder_harness::SetUp();
        adopt_fleet(with_prefill);
        inject(route, fault_sequence, disconnect_after);
        check(route);
    }

    bool m_streams = false;
    bool m_disconnected = false;
    std::size_t m_handled_calls = 0;
    std::size_t m_runs = 0;
    std::size_t m_calls_at_disconnect = 0;
    std::vector<endpoint> m_run_by;
    time_point m_case_start;
    std::shared_ptr<recorded_exchange> m_caller;
};

// Guards against a second run, a false refusal, a wrong response or a leftover call after any two engine
// faults.
TEST_F(forwarder_fault_fixture, any_two_faults_give_one_correct_response) {
    for (const bool with_prefill : {false, true}) {
        for (const route_case& route : routes) {
            for (const engine_fault& first : faults()) {
                for (const engine_fault& second : faults()) {
                    run_case(route, {&first, &second}, with_prefill);
                }
            }
        }
    }
}

// Guards against errors at the limits of attempts and connections, which repeated faults reach.
TEST_F(forwarder_fault_fixture, same_fault_in_every_attempt_gives_one_correct_response) {
    for (const bool with_prefill : {false, true}) {
        for (const route_case& route : routes) {
            for (const engine_fault& fault : faults()) {
                run_case(route, {&fault, &fault, &fault, &fault, &fault, &fault}, with_prefill);
            }
        }
    }
}

// Guards against work that continues or starts after the caller has disconnected at any step.
TEST_F(forwarder_fault_fixture, caller_disconnect_at_any_step_ends_all_work) {
    for (const bool with_prefill : {false, true}) {
        for (const route_case& route : routes) {
            for (const engine_fault& fault : faults()) {
                for (std::size_t step = 0; step < 3; ++step) {
                    run_case(route, {&fault}, with_prefill, step);
                }
            }
        }
    }
}

} // namespace parsleypitch
