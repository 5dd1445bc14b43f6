#pragma once

#include "entry/membership_service.hpp"

#include <parsleypitch/admission/admission_control.hpp>
#include <parsleypitch/admission/open_request_limits.hpp>
#include <parsleypitch/configuration/configuration_service.hpp>
#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/retry/retry.hpp>
#include <parsleypitch/routing/fleet_index.hpp>
#include <parsleypitch/routing/in_flight_work.hpp>
#include <parsleypitch/routing/prefix_index.hpp>
#include <parsleypitch/routing/routing.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

namespace parsleypitch::detail {

/// @brief Why a request is refused that is not retried.
[[nodiscard]] error cause_of_refusal(retry_reason reason, const retry_context& context);

/// @brief Measures the arrival rates of work for each model, for the planner; safe for all threads.
class demand_meter {
  public:
    void record_arrival(const generate_work& work);
    /// @brief Returns the rates per second since the last call and starts a new interval. Only one thread may
    /// call it.
    [[nodiscard]] std::vector<model_demand> take_rates(time_point now);

  private:
    struct arrivals {
        double prompt_tokens = 0;
        double output_tokens = 0;
        double requests = 0;
    };
    std::mutex m_mutex;
    std::map<model_id, arrivals> m_arrivals;
    std::optional<time_point> m_interval_start;
};

/// @brief The state of the fleet prepared for routing and admission; built once per published fleet view.
struct traffic_snapshot {
    std::shared_ptr<const fleet_view> view;
    fleet_index index;
    std::map<model_id, load_summary> engines;
    std::map<plain_service_id, load_summary> plain_services;
};

/// @brief Admits requests, selects backend servers and decides on retries; kernel service "traffic".
class traffic_service final : public service {
  public:
    explicit traffic_service(const entry_settings& settings);

    [[nodiscard]] service_name name() const override { return service_name("traffic"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Returns the hooks of the request path; valid after `start`.
    [[nodiscard]] const request_hooks& hooks() const { return m_hooks; }

    /// @brief Admits a request, which holds capacity until `release`, or refuses it before it runs.
    [[nodiscard]] std::optional<refusal> admit(const caller_request& request);
    /// @brief Frees the capacity that an admitted request holds.
    void release(const caller_request& request);
    /// @brief Returns the arrival rates by model in the last heartbeat period; control thread only.
    [[nodiscard]] const std::vector<model_demand>& demand() const { return m_arrival_rates; }

  private:
    [[nodiscard]] std::shared_ptr<const traffic_snapshot> snapshot();
    [[nodiscard]] result<attempt_target> choose_server(const selection_context& context);
    [[nodiscard]] result<attempt_target> choose_from_snapshot(const traffic_snapshot& fleet,
                                                              const selection_context& context,
                                                              routing_request request, time_point now);
    [[nodiscard]] result<duration> decide_retry(const retry_context& context);
    [[nodiscard]] admission_request admission_of(const caller_request& request) const;
    [[nodiscard]] routing_policy make_policy();

    entry_settings m_settings;
    clock_hook m_clock = steady_clock_hook();
    random_hook m_random = seeded_random_hook(random_seed());
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<configuration_service> m_configuration;
    std::shared_ptr<metrics_registry> m_metrics;
    request_hooks m_hooks;
    demand_meter m_demand_meter;
    std::vector<model_demand> m_arrival_rates;
    std::atomic<std::shared_ptr<const traffic_snapshot>> m_snapshot;

    /// Guards the members below, which are shared by traffic threads.
    std::mutex m_mutex;
    in_flight_tracker m_in_flight;
    prefix_index m_prefixes;
    admission_control m_admission{admission_control_config{}};
    open_request_limits m_open_requests;
    retry_budget m_budget;
    retry_policy m_retries{retry_policy_config{}, m_random};
    routing_policy m_policy;
};

} // namespace parsleypitch::detail
