#pragma once

#include <parsleypitch/core/strong_type.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <memory>
#include <string>

namespace parsleypitch {

/// @brief Name of a metric, for example `parsleypitch_refusals_total`.
using metric_name = string_id<struct metric_name_tag>;

/// @brief One label of a metric, for example reason="queue_full".
struct metric_label {
    std::string key;
    std::string value;

    friend auto operator<=>(const metric_label&, const metric_label&) = default;
};

using metric_labels = std::vector<metric_label>;

/// @brief Thread-safe registry of the counters, gauges and histograms of a process.
class metrics_registry final : public service {
  public:
    metrics_registry();
    ~metrics_registry() override;
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    metrics_registry(metrics_registry&&) = delete;
    metrics_registry& operator=(metrics_registry&&) = delete;

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Increments a counter.
    void count(const metric_name& metric, const metric_labels& labels, std::uint64_t by = 1);
    /// @brief Sets a gauge.
    void set(const metric_name& metric, const metric_labels& labels, double value);
    /// @brief Records a duration in a histogram with logarithmic bins from 0.1 ms to 1000 s.
    void record(const metric_name& metric, const metric_labels& labels, duration value);

    /// @brief Value of a counter; 0 if it was never incremented.
    [[nodiscard]] std::uint64_t counter(const metric_name& metric, const metric_labels& labels) const;
    /// @brief All metrics in the Prometheus text exposition format, with durations in seconds.
    [[nodiscard]] std::string exposition() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Name under which the registry is registered in the kernel.
[[nodiscard]] service_name metrics_service_name();

} // namespace parsleypitch
