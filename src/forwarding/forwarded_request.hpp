#pragma once

#include "forwarding/forwarder_state.hpp"

#include <parsleypitch/admission/generation_admission.hpp>
#include <parsleypitch/admission/held_requests.hpp>
#include <parsleypitch/core/buffer_budget.hpp>
#include <parsleypitch/forwarding/event_splitter.hpp>

namespace parsleypitch {

/// @brief One request of a caller from its arrival to its final response.
///
/// Attempts are sent one after the other. After each attempt, the known run state (ran, may have run or did
/// not run) decides between a response to the caller and another attempt.
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
  public:
    forwarded_request(std::shared_ptr<forwarder::state> shared, std::shared_ptr<http::exchange> exchange)
        : m_shared(std::move(shared)), m_exchange(std::move(exchange)) {}

    void start();
    /// Cancels the current attempt and responds with an error that states whether the request ran.
    void terminate(const error& why);
    /// Starts this held request if an engine has room for it.
    [[nodiscard]] admission_decision try_start_held();
    /// Ends this held request.
    void refuse_held(const refusal& why);
    [[nodiscard]] const request_id& id() const { return m_call.id; }
    /// Ends this request if its prompt is quarantined and nothing of its response has been sent.
    void end_if_quarantined();

  private:
    /// One attempt at a backend server.
    struct attempt {
        placement_target server;
        attempt_stage stage = attempt_stage::whole;
        std::optional<kv_source> source;
        /// The caller has received events of an earlier attempt.
        bool resumes_stream = false;
        time_point started;
        /// End of the prefill according to the known work of the server.
        time_point expected_prefill_end;
        /// Estimated time to the first token in milliseconds.
        double expected_ms = 0;
        bool sent = false;
        time_point sent_at;
        bool response_started = false;
        /// When the first event of this attempt arrived.
        std::optional<time_point> first_event_at;
        std::optional<time_point> last_event_at;
        /// Why the attempt was last kept in spite of its silence.
        std::string_view kept_because;
        http::response_head head;
        response_metadata metadata;
        std::string body;
        /// The bytes of the answer that are buffered here.
        buffer_budget::share collected;
        /// Why the answer could not be read or used.
        std::optional<http::call_failure> failure;
        http::call_handle call;
    };

    /// Finds the account of the caller if the configuration holds accounts.
    /// @return false if the request was refused
    [[nodiscard]] bool identify_caller();

    // Start of attempts
    void send_next();
    void send_generation();
    [[nodiscard]] admission_decision admit(const generation_placement& plan) const;
    /// Whether held requests go before this one, although an engine has room for it.
    [[nodiscard]] bool gives_precedence(const generation_placement& plan) const;
    void hold(const generation_placement& plan, admission_decision decision);
    /// Shortest target of the requests that this one must not delay.
    [[nodiscard]] duration shortest_target() const;
    /// Latest time for the first event: the deadline, or earlier when the caller of a stream leaves.
    [[nodiscard]] time_point last_first_event() const;
    void start_generation(const generation_placement& plan);
    void send_plain();
    /// Refuses the request because no server of its service can take it.
    void refuse_unplaced();
    void send_continuation(const kv_source& source, const availability_zone_id& near_zone);
    void begin_attempt(attempt next);
    [[nodiscard]] placement_constraints constraints() const;
    [[nodiscard]] std::optional<duration> attempt_timeout(const attempt& next) const;
    [[nodiscard]] http::call_hooks attempt_hooks();

    // Events of the current attempt
    void on_head(const http::response_head& head);
    void on_body(const std::string& part);
    void on_end();
    void on_failed(const http::call_failure& why);
    void on_prefill_end();
    /// Corrects the estimates for the server of the current attempt after its prefill.
    void note_prefill_ended(double took_ms);
    void on_stream_part(const std::string& part);
    /// Fails the current attempt because the answers of all servers need too much memory.
    void on_buffer_revoked();
    void forward_events(const std::string& events);

    // Moves to another server
    /// Moves the request if its server is silent and another one can do better for the caller.
    void on_attempt_timeout();
    /// Attempts that count towards the route's maximum, with the current one.
    [[nodiscard]] unsigned attempts_made() const { return m_attempts + (m_attempt ? 1 : 0); }
    /// Why the current attempt goes on in spite of its silence; empty if the request moves.
    [[nodiscard]] std::string_view reason_to_stay() const;
    /// Whether the server of the current attempt sends events of other requests, so that it has not reached
    /// this one yet or has preempted it.
    [[nodiscard]] bool server_is_busy() const;
    /// Whether another server has room and can answer before the deadline.
    [[nodiscard]] bool other_server_has_room() const;
    /// Waits for an engine that can go on with a stream that has begun.
    /// @param is_paid whether the next attempt has been taken from the retry budget
    /// @return false if the stream cannot be resumed
    [[nodiscard]] bool wait_to_resume(const error& why, bool is_paid);
    void arm_resume_timer();
    void try_resume();
    [[nodiscard]] placement_constraints resume_constraints() const;

    // End of attempts and of the request
    void finish_attempt(std::optional<attempt_result> result);
    /// Counts the time for which a call used a slot of a server of a plain service.
    void note_call_time(const attempt& ended);
    /// Cancels the current attempt, if there is one, and frees what it reserved.
    void end_attempt_early(std::optional<attempt_result> result);
    void after_failure(const error& why, run_state attempt_ran);
    [[nodiscard]] retry_reason decide_retry(const error& why, run_state attempt_ran);
    /// Whether engines have ended under this request or its prompt, so that a repeat could end another one.
    [[nodiscard]] bool repeat_is_dangerous(const error& why, run_state attempt_ran) const;
    /// Notes that the server of the current attempt lost this request.
    void note_lost();
    /// Reports that the request began to run, once for each request of an account.
    void note_began(time_point began);
    /// How long this request is refused because engines ended; zero if it is not.
    [[nodiscard]] duration quarantine_remaining() const;
    void send_response(http::response answer);
    void refuse(const error& why, duration retry_after_hint);
    void on_deadline();
    void on_caller_disconnected();
    void finish_request(std::string_view outcome, unsigned status, std::string_view reason);
    void release_source();

    [[nodiscard]] bool is_repeatable() const;
    [[nodiscard]] bool streams() const { return m_route->kind == request_kind::stream; }
    [[nodiscard]] time_point now() const { return m_shared->hooks.now(); }
    [[nodiscard]] duration elapsed() const { return now() - m_received_at; }
    void arm_attempt_timer(duration timeout);

    std::shared_ptr<forwarder::state> m_shared;
    std::shared_ptr<http::exchange> m_exchange;
    time_point m_received_at;
    std::shared_ptr<const route_table> m_routes; // owns m_route and m_service
    const route* m_route = nullptr;
    const backend_service* m_service = nullptr;
    inbound_call m_call;
    /// Priority of the caller's account or of the route, 0 is the most urgent.
    unsigned m_urgency = 0;
    /// Hash of what stays the same when the caller sends the request again.
    crash_cause m_identity;
    std::vector<crash_cause> m_shared_parts;
    /// The shared parts of the prompt and the identity.
    std::vector<crash_cause> m_causes;
    time_point m_deadline;
    timer_cancel m_deadline_timer;
    timer_cancel m_attempt_timer;

    std::optional<attempt> m_attempt;
    /// KV cache of a prefill that no decode engine has consumed yet.
    std::optional<kv_source> m_kv_source;
    std::vector<backend_server_id> m_tried_servers;
    /// Attempts that have ended and count towards the route's maximum.
    unsigned m_attempts = 0;
    unsigned m_connect_failures = 0;
    /// Attempts that may have run the request.
    unsigned m_runs = 0;
    /// Servers that refused the request or were left for their silence. They may get it again without more
    /// servers being used than the route allows.
    std::vector<backend_server_id> m_reusable_servers;
    /// The next attempt of a stream that waits for an engine has been taken from the retry budget.
    bool m_resume_is_paid = false;
    bool m_prefill_failed = false;
    /// An engine lost this request before its first event.
    bool m_lost_before_event = false;
    /// Servers that lost this request.
    unsigned m_losses = 0;
    /// Set while the request waits for an engine with room.
    std::optional<held_request_id> m_held;
    run_state m_ran = run_state::not_run;
    std::optional<http::response> m_server_failure;

    event_splitter m_events;
    /// The account's usage has this request. A stream that its caller resumes was counted when it began.
    bool m_is_counted = false;
    bool m_stream_begun = false;
    /// Content type of the stream that the caller receives.
    std::string m_stream_type;
    std::optional<stream_event_id> m_last_event;
    std::optional<duration> m_first_event_after;
    std::uint64_t m_event_count = 0;
    bool m_finished = false;
};

} // namespace parsleypitch
