#pragma once

#include "forwarding/forwarder_state.hpp"

#include <parsleypitch/forwarding/event_splitter.hpp>

namespace parsleypitch {

/// @brief One request of a caller from its arrival to its final answer.
///
/// It sends attempts one after the other. After each it knows whether the request ran, may have run, or did
/// not run, and answers or sends another attempt accordingly.
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
  public:
    forwarded_request(std::shared_ptr<forwarder::state> shared, std::shared_ptr<http::exchange> exchange)
        : m_shared(std::move(shared)), m_exchange(std::move(exchange)) {}

    void start();
    /// Cancels the attempt under way and answers what is true then.
    void give_up(const error& why);

  private:
    /// One send to a backend server.
    struct attempt {
        placement_target server;
        attempt_stage stage = attempt_stage::whole;
        std::optional<kv_source> source;
        time_point started;
        /// Estimated time to the first token or the end of the prefill, without waiting.
        double expected_ms = 0;
        bool sent = false;
        bool heard = false;
        http::response_head head;
        response_metadata metadata;
        std::string body;
        http::call_handle call;
    };

    // Choice of the next attempt
    void send_next();
    void send_generation();
    void send_plain();
    void send_continuation(const kv_source& source, const availability_zone_id& near_zone);
    void begin_attempt(attempt next);
    [[nodiscard]] placement_constraints constraints() const;
    [[nodiscard]] std::optional<duration> attempt_patience(const attempt& next) const;
    [[nodiscard]] http::call_hooks attempt_hooks();

    // Events of the current attempt
    void on_head(const http::response_head& head);
    void on_body(const std::string& part);
    void on_end();
    void on_failed(const error& why);
    void on_silence();
    void on_prefill_end();
    void on_stream_part(const std::string& part);
    void pass_on(const std::string& events);

    // Ends
    void settle(std::optional<attempt_result> result);
    void after_failure(const error& why, run_state attempt_ran);
    void deliver(http::response answer);
    void refuse(const error& why, duration retry_after_hint);
    void on_deadline();
    void on_caller_gone();
    void finish(std::string_view outcome, unsigned status, std::string_view reason);
    void release_source();

    [[nodiscard]] bool may_repeat() const;
    [[nodiscard]] bool streams() const { return m_route->kind == request_kind::stream; }
    [[nodiscard]] time_point now() const { return m_shared->hooks.now(); }
    [[nodiscard]] duration elapsed() const { return now() - m_exchange_received; }
    void arm_patience(duration patience);

    std::shared_ptr<forwarder::state> m_shared;
    std::shared_ptr<http::exchange> m_exchange;
    time_point m_exchange_received;
    std::shared_ptr<const route_table> m_routes; // keeps m_route and m_service alive
    const route* m_route = nullptr;
    const backend_service* m_service = nullptr;
    inbound_call m_call;
    time_point m_deadline;
    timer_cancel m_deadline_timer;
    timer_cancel m_patience_timer;

    std::optional<attempt> m_attempt;
    /// KV cache that no engine has taken yet.
    std::optional<kv_source> m_source;
    std::vector<backend_server_id> m_tried;
    /// Sends that count towards the route's attempts.
    unsigned m_sends = 0;
    unsigned m_connect_failures = 0;
    bool m_prefill_failed = false;
    run_state m_ran = run_state::not_run;
    std::optional<http::response> m_server_failure;

    event_splitter m_events;
    bool m_stream_begun = false;
    std::optional<stream_event_id> m_last_event;
    std::optional<duration> m_first_event_after;
    std::uint64_t m_event_count = 0;
    bool m_finished = false;
};

} // namespace parsleypitch
