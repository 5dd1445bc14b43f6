#pragma once

#include "entry/membership_service.hpp"

#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/metrics/metrics.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace parsleypitch::detail {

/// @brief Own work at one backend server, which corrects reports that are older than it.
class in_flight_table {
  public:
    void begin(const std::string& server);
    void end(const std::string& server, const std::optional<load_report>& load);
    [[nodiscard]] std::int64_t at(const std::string& server) const;

  private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_in_flight;
};

/// @brief Chooses backend servers and decides about retries; kernel service "traffic".
class traffic_service final : public service {
  public:
    explicit traffic_service(const entry_settings& settings);

    [[nodiscard]] service_name name() const override { return service_name("traffic"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Decisions and effects for the request path; valid after `start`.
    [[nodiscard]] const request_hooks& hooks() const { return m_hooks; }

  private:
    [[nodiscard]] result<route> choose(const route_question& question) const;
    [[nodiscard]] result<duration> may_retry(const retry_question& question) const;

    entry_settings m_settings;
    std::shared_ptr<membership_service> m_membership;
    std::shared_ptr<metrics_registry> m_metrics;
    in_flight_table m_in_flight;
    request_hooks m_hooks;
};

} // namespace parsleypitch::detail
