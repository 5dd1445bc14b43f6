#pragma once

#include "host_processes.hpp"
#include "soak_plan.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch::soak {

/// @brief One kind of trouble; `strike` begins it for some time.
struct fault_kind {
    std::string name;
    /// @brief Work that operators plan; it excuses nothing.
    bool planned = false;
    std::function<void(duration)> strike;
};

inline const service_name fault_series_name("fault_series");

/// @brief Draws faults from the seed of the plan and lets them strike, in series that overlap.
class fault_series : public service {
  public:
    explicit fault_series(soak_plan plan);

    [[nodiscard]] service_name name() const override { return fault_series_name; }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Begins the faults; they are over after the time of the plan.
    void begin();
    /// @brief Lines that say what struck and when, for the report of the run.
    [[nodiscard]] std::vector<std::string> struck() const { return m_struck; }

  private:
    using links = std::vector<std::unique_ptr<bench::relay_link>>;
    using links_of = std::function<links&(soak_traffic::world&)>;

    void add(std::string name, std::function<void(duration)> strike);
    void add_planned(std::string name, std::function<void()> strike);
    [[nodiscard]] std::function<void(duration)> disturb_link(links_of of, bench::link_condition condition);
    void configure();
    void add_host_faults();
    void add_link_faults();
    void add_store_faults();
    void add_engine_faults();
    void add_operator_work();
    void draw_next();
    void strike(const fault_kind& kind);
    [[nodiscard]] std::size_t any_host() const;
    [[nodiscard]] duration between(milliseconds least, milliseconds most) const;
    void replace_engine(const engine_plan& lost);

    soak_plan m_plan;
    random_hook m_random;
    kernel* m_kernel = nullptr;
    std::shared_ptr<soak_traffic> m_traffic;
    std::shared_ptr<host_processes> m_hosts;
    std::vector<fault_kind> m_kinds;
    time_point m_began;
    std::vector<std::string> m_struck;
};

} // namespace parsleypitch::soak
