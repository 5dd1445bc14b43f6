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

/// @brief Averages the work that arrives for each model, for the role planner.
class demand_meter {
  public:
    void arrived(const generate_work& work);
    /// @brief Closes the interval since the last call; one caller.
    [[nodiscard]] std::vector<model_demand> take(time_point now);

  private:
    struct arrivals {
        double prompt_tokens = 0;
        double output_tokens = 0;
        double requests = 0;
    };
    std::mutex m_mutex;
    std::map<model_id, arrivals> m_arrivals;
    std::optional<time_point> m_since;
};

/// @brief The fleet as routing and admission read it; built once per membership snapshot.
struct traffic_snapshot {
    std::shared_ptr<const fleet_view> view;
    fleet_index index;
    std::map<model_id, load_summary> engines;
    std::map<plain_service_id, load_summary> plain_services;
};

/// @brief Admits requests, chooses backend servers and decides about retries; kernel service "traffic".
class traffic_service final : public service {
  public:
    explicit traffic_service(const entry_settings& settings);

    [[nodiscard]] service_name name() const override { return service_name("traffic"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Decisions and effects for the request path; valid after `start`.
    [[nodiscard]] const request_hooks& hooks() const { return m_hooks; }

    /// @brief Admits a request and counts it until `ended`, or refuses it before it runs.
    [[nodiscard]] std::optional<refusal> admit(const caller_request& request);
    /// @brief Ends an admitted request.
    void ended(const caller_request& request);
    /// @brief Arrivals by model during the last heartbeat period; control thread only.
    [[nodiscard]] const std::vector<model_demand>& demand() const { return m_latest_demand; }

  private:
    [[nodiscard]] std::shared_ptr<const traffic_snapshot> snapshot();
    [[nodiscard]] result<route> choose(const route_question& question);
    [[nodiscard]] result<route> choose_server(const traffic_snapshot& fleet, const route_question& question,
                                              routing_request request, time_point now);
    [[nodiscard]] result<duration> may_retry(const retry_question& question);
    [[nodiscard]] admission_request admission_of(const caller_request& request) const;
    [[nodiscard]] routing_policy make_policy();

    entry_settings m_settings;
    clock_hook m_clock = steady_clock_hook();
    random_hook m_random = seeded_random_hook(random_seed());
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<configuration_service> m_configuration;
    std::shared_ptr<metrics_registry> m_metrics;
    request_hooks m_hooks;
    demand_meter m_demand;
    std::vector<model_demand> m_latest_demand;
    std::atomic<std::shared_ptr<const traffic_snapshot>> m_snapshot;

    /// Guards the decision classes below, which are shared by traffic threads.
    std::mutex m_mutex;
    in_flight_tracker m_own_work;
    prefix_index m_prefixes;
    admission_control m_admission{admission_control_config{}};
    open_request_limits m_open;
    retry_budget m_budget;
    retry_policy m_retries{retry_policy_config{}, m_random};
    routing_policy m_policy;
};

} // namespace parsleypitch::detail
