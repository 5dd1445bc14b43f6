#include "forwarder_harness.hpp"

#include <array>

namespace parsleypitch {

/// Plays every pair of engine faults on the first two sends of a request, on every kind of route, and
/// compares what the caller got with what the engines know.
class forwarder_fault_fixture : public forwarder_harness {
  protected:
    /// What an engine does with one send.
    struct engine_fault {
        const char* name;
        /// The request may have run; sends that only read a prompt never run it.
        bool may_have_run;
        bool of_streams;
        std::function<void(forwarder_fault_fixture&)> play;
    };

    static const std::vector<engine_fault>& faults() {
        using fixture = forwarder_fault_fixture;
        static const std::vector<engine_fault> all = {
            {"none", true, false, [](fixture& f) { f.succeed(); }},
            {"unreachable", false, false, [](fixture& f) { f.break_call(errc::backend_unreachable); }},
            {"no_connection_free", false, false, [](fixture& f) { f.break_call(errc::backend_overloaded); }},
            {"broken_before_head", true, false, [](fixture& f) { f.break_sent(); }},
            {"refused_not_run", false, false,
             [](fixture& f) {
                 f.answer(503, {{"not-run", "1"}}, "");
             }},
            {"misdirected", false, false, [](fixture& f) { f.answer(421, {}, ""); }},
            {"failed", true, false,
             [](fixture& f) {
                 f.answer(500, {{"seal", "s"}}, "failed");
             }},
            {"unproved_promise", true, false,
             [](fixture& f) {
                 f.answer(503, {{"seal", "s"}}, "failed");
             }},
            {"success_without_seal", true, false, [](fixture& f) { f.answer(200, {}, "ok"); }},
            {"broken_after_head", true, false, [](fixture& f) { f.break_after(""); }},
            {"broken_within_event", true, true,
             [](fixture& f) { f.break_after(events(1, 1) + "id: 2\nda"); }},
            {"broken_after_event", true, true, [](fixture& f) { f.break_after(events(1, 2)); }},
            {"gap", true, true, [](fixture& f) { f.send_body(events(1, 1) + events(3, 3)); }},
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

    struct kind_of_route {
        const char* path;
        bool streams;
        bool repeatable;
        std::size_t max_attempts;
    };
    static constexpr std::array<kind_of_route, 5> routes = {{{"/once/1", false, false, 2},
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

    [[nodiscard]] bool reads_only() const { return m_calls.back()->has("stage: prefill"); }
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
    void break_sent() {
        call();
        break_call(errc::backend_broken);
    }
    void break_after(const std::string& body) {
        const auto sent = m_calls.back();
        send_body(body);
        if (!sent->over && sent == m_calls.back()) {
            break_call(errc::backend_broken);
        }
    }
    /// Serves the send as a sound engine does.
    void succeed() {
        if (reads_only()) {
            answer(200, {}, "handle");
            return;
        }
        if (!m_streams) {
            answer_sealed("ok");
            return;
        }
        const std::string& bytes = call().bytes;
        const std::size_t resumed = bytes.find("resume-after: ");
        const unsigned after =
            resumed == std::string::npos ? 0 : static_cast<unsigned>(bytes[resumed + 14] - '0');
        send_body(events(after + 1, last_event));
        end_call();
    }

    /// Sends that an engine has not dealt with yet, releases of KV caches left out.
    [[nodiscard]] bool has_open_send() const {
        return m_calls.size() > m_played && !m_calls.back()->over && !m_calls.back()->has("DELETE");
    }

    /// Plays the faults on the sends of a request in turn, later sends succeed.
    void play(const kind_of_route& route, const std::vector<const engine_fault*>& script,
              std::optional<std::size_t> caller_leaves_after = std::nullopt) {
        m_streams = route.streams;
        m_caller = send(route.path, route.streams ? std::vector<http::header_field>{{"prompt", "20000"}}
                                                  : std::vector<http::header_field>{});
        std::size_t turn = 0;
        while (m_caller->answers == 0) {
            if (caller_leaves_after == turn) {
                m_caller->leave();
                m_left = true;
                m_sends_when_left = m_calls.size();
                break;
            }
            if (!has_open_send()) {
                const std::size_t before = m_calls.size();
                pass(milliseconds(100));
                if (m_calls.size() == before && m_now > m_begun + seconds(5)) {
                    break;
                }
                continue;
            }
            m_played = m_calls.size();
            const engine_fault& fault = turn < script.size() ? *script[turn] : faults().front();
            ++turn;
            const auto& sent = m_calls.back();
            if (!reads_only() && fault.may_have_run) {
                ++m_runs;
                m_run_by.push_back(sent->to);
            }
            fault.play(*this);
        }
        pass(seconds(5));
    }

    void check(const kind_of_route& route) const {
        EXPECT_EQ(m_forwarder->open_requests(), 0U);
        for (const auto& each : m_calls) {
            EXPECT_TRUE(each->over || each->has("DELETE")) << "a send to " << each->to << " goes on";
        }
        if (m_left) {
            for (std::size_t i = m_sends_when_left; i < m_calls.size(); ++i) {
                EXPECT_TRUE(m_calls[i]->has("DELETE")) << "sent after the caller left";
            }
            return;
        }
        EXPECT_EQ(m_caller->answers, 1);
        EXPECT_LE(m_run_by.size(), route.max_attempts);
        if (!route.repeatable) {
            EXPECT_LE(m_runs, 1U);
        }
        check_answer(route);
    }

    void check_answer(const kind_of_route& route) const {
        const unsigned status = m_caller->status;
        if (status == 503 || status == 429) {
            EXPECT_TRUE(route.repeatable || m_runs == 0) << "refused, but it may have run";
            EXPECT_NE(m_caller->head.headers.find("Retry-After"), nullptr);
        }
        if (status == 200 && route.streams) {
            const std::string whole = events(1, last_event);
            EXPECT_EQ(m_caller->body, m_caller->ended ? whole : whole.substr(0, m_caller->body.size()));
            EXPECT_EQ(m_caller->body.size() % events(1, 1).size(), 0U) << "a part of an event";
            EXPECT_NE(m_caller->ended, m_caller->aborted);
        } else if (status == 200) {
            EXPECT_EQ(m_caller->body, "ok");
        }
    }

    /// Plays one case on a forwarder of its own.
    void run_case(const kind_of_route& route, const std::vector<const engine_fault*>& script,
                  bool with_prefill, std::optional<std::size_t> caller_leaves_after = std::nullopt) {
        const auto fits = [&route](const engine_fault* each) { return route.streams || !each->of_streams; };
        if (!std::all_of(script.begin(), script.end(), fits)) {
            return;
        }
        std::string name = route.path;
        for (const engine_fault* each : script) {
            name += std::string(" ") + each->name;
        }
        const testing::ScopedTrace trace(__FILE__, __LINE__, name);
        m_calls.clear();
        m_timers.clear();
        m_cache_questions.clear();
        m_run_by.clear();
        m_played = 0;
        m_runs = 0;
        m_left = false;
        m_begun = m_now;
        forwarder_harness::SetUp();
        adopt_fleet(with_prefill);
        play(route, script, caller_leaves_after);
        check(route);
    }

    bool m_streams = false;
    bool m_left = false;
    std::size_t m_played = 0;
    std::size_t m_runs = 0;
    std::size_t m_sends_when_left = 0;
    std::vector<endpoint> m_run_by;
    time_point m_begun;
    std::shared_ptr<recorded_exchange> m_caller;
};

// Guards against a second run, a false refusal, a wrong answer or a send that is left over, after any two
// faults.
TEST_F(forwarder_fault_fixture, any_two_faults_leave_one_true_answer) {
    for (const bool with_prefill : {false, true}) {
        for (const kind_of_route& route : routes) {
            for (const engine_fault& first : faults()) {
                for (const engine_fault& second : faults()) {
                    run_case(route, {&first, &second}, with_prefill);
                }
            }
        }
    }
}

// Guards against three failing engines in a row, which reach the limits of attempts and of connections.
TEST_F(forwarder_fault_fixture, same_fault_on_every_send_leaves_one_true_answer) {
    for (const bool with_prefill : {false, true}) {
        for (const kind_of_route& route : routes) {
            for (const engine_fault& fault : faults()) {
                run_case(route, {&fault, &fault, &fault, &fault, &fault, &fault}, with_prefill);
            }
        }
    }
}

// Guards against work that goes on, or starts anew, after the caller has left at any step.
TEST_F(forwarder_fault_fixture, caller_who_leaves_at_any_step_ends_all_work) {
    for (const bool with_prefill : {false, true}) {
        for (const kind_of_route& route : routes) {
            for (const engine_fault& fault : faults()) {
                for (std::size_t step = 0; step < 3; ++step) {
                    run_case(route, {&fault}, with_prefill, step);
                }
            }
        }
    }
}

} // namespace parsleypitch
