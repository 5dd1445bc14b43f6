#pragma once

#include <parsleypitch/http/client.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/serving/peer_calls.hpp>
#include <parsleypitch/serving/serving_roles.hpp>
#include <parsleypitch/usage/usage_codec.hpp>
#include <parsleypitch/usage/usage_gathering.hpp>
#include <parsleypitch/usage/usage_reporter.hpp>

#include <future>
#include <map>
#include <memory>
#include <vector>

namespace parsleypitch {

/// @brief Counts the requests of each account that began to run on this host, and reports the counts of all
/// hosts while this host holds the lease of the duties.
///
/// It is active where the settings name a service for the reports and a length of their windows, hosts can
/// call each other, and the configuration in force holds accounts. The service must be registered before
/// `serving_traffic`, so that it is drained after the last request has been counted. The state is accessed
/// only on the control thread.
class serving_usage final : public service, public std::enable_shared_from_this<serving_usage> {
  public:
    /// @param self this host
    /// @param protocol encodes the reports
    /// @param clock must include the time during which the machine was suspended
    /// @param day time of day, by which requests are counted
    serving_usage(usage_origin self, const serve_settings& settings, backend_protocol protocol,
                  clock_hook clock, wall_clock_hook day);

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Gives the counts that no other host has to two of them.
    void drain() override;
    void stop() override;

    /// @brief Starts to use the record of the last report. Called on the control thread once the store is
    /// open.
    void open(object_handle record);
    /// @brief Reads the record anew. Called on the control thread.
    void on_restored();
    /// @brief Sets whether the configuration in force holds accounts. Called on the control thread.
    void observe_configuration(bool holds_accounts) { m_has_accounts = holds_accounts; }

  private:
    /// A report that was sent to the service and has no answer yet.
    struct open_send {
        usage_window window;
        fencing_number term;
        unsigned status = 0;
        http::call_handle call;
    };
    /// What another host has been given a copy of.
    struct copy_state {
        usage_origin to;
        std::map<usage_origin, usage_change> told;
        bool is_busy = false;
    };
    struct hand_over;

    [[nodiscard]] usage_time time() const { return {m_clock(), m_day()}; }
    void tick();
    void count(const serving_traffic::usage_batch& batch);
    void count_left_out(const char* state, request_count requests);
    /// Deletes the counts up to a window that has been reported.
    void forget_through(usage_window reported);

    // Messages between hosts
    [[nodiscard]] std::optional<std::string> answer_query(const std::string& body);
    [[nodiscard]] std::optional<std::string> keep_copy(const std::string& body);
    void merge(const usage_news& news);
    void ask_peers(const usage_time& at);
    void on_counts(const endpoint& peer, const result<std::string>& answer);
    void send_copies();
    void send_copy(const endpoint& peer, copy_state& state);
    /// Counts that the hosts which answer do not tell themselves.
    [[nodiscard]] std::vector<usage_count> own_and_orphaned(const std::map<usage_origin, usage_change>& told);
    /// Other hosts, beginning with the one that follows this host by address.
    [[nodiscard]] std::vector<endpoint> in_ring(std::vector<endpoint> peers) const;
    void hand_over_to_next(const std::shared_ptr<hand_over>& what);

    // Reports
    void step();
    void read_record();
    void write_record(const usage_action& proposal);
    void on_written(const usage_action& proposal, const result<store_revision>& written);
    void log_report(const usage_action& proposal);
    void send_report(const usage_record& record);
    void end_send(bool accepted, std::string_view reason);

    usage_origin m_self;
    endpoint m_own_address;
    endpoint m_service;
    duration m_grace;
    bool m_is_configured;
    usage_timing m_timing;
    backend_protocol m_protocol;
    clock_hook m_clock;
    wall_clock_hook m_day;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<metrics_registry> m_metrics;
    std::shared_ptr<serving_traffic> m_traffic;
    std::shared_ptr<serving_roles> m_roles;
    std::shared_ptr<peer_calls> m_calls;
    std::unique_ptr<http::client> m_client;
    std::optional<object_handle> m_record;
    bool m_has_accounts = false;

    usage_counts m_counts;
    usage_gathering m_gathering;
    usage_reporter m_reporter;
    std::optional<fencing_number> m_term;
    time_point m_next_upkeep;
    std::vector<endpoint> m_peers;
    std::map<endpoint, copy_state> m_copies;
    std::optional<open_send> m_send;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_usage_name();

} // namespace parsleypitch
