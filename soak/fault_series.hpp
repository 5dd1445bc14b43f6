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

/// @brief One kind of fault; `inject` starts it for the given time.
struct fault_kind {
    std::string name;
    /// @brief Whether it is a planned operation, during which all guarantees hold.
    bool planned = false;
    std::function<void(duration)> inject;
};

inline const service_name fault_series_name("fault_series");

/// @brief Injects random faults, drawn from the seed of the plan, in series that may overlap.
class fault_series : public service {
  public:
    explicit fault_series(soak_plan plan);

    [[nodiscard]] service_name name() const override { return fault_series_name; }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Starts injecting faults, for `fault_duration` of the plan.
    void begin();
    /// @brief One line for each injected fault, with time, kind and length.
    [[nodiscard]] std::vector<std::string> injected() const { return m_injected; }

  private:
    using links = std::vector<std::unique_ptr<bench::relay_link>>;
    using links_of = std::function<links&(soak_traffic::testbed&)>;

    void add(std::string name, std::function<void(duration)> inject);
    void add_planned(std::string name, std::function<void()> inject);
    [[nodiscard]] std::function<void(duration)> disturb_link(links_of select,
                                                             bench::link_condition condition);
    void configure();
    void add_host_faults();
    void add_link_faults();
    void add_store_faults();
    void add_engine_faults();
    void add_engine_statements();
    void add_store_restore();
    void add_operator_work();
    void draw_next();
    void draw_statement();
    void note_interruption(observed_interruption interruption);
    void inject(const fault_kind& kind, duration length);
    [[nodiscard]] std::size_t any_host() const;
    [[nodiscard]] duration between(milliseconds shortest, milliseconds longest) const;
    void replace_engine(const engine_plan& ended_engine);

    soak_plan m_plan;
    random_hook m_random;
    /// Draws the statements of engines, so that the other faults of a seed do not depend on them.
    random_hook m_statement_random;
    kernel* m_kernel = nullptr;
    std::shared_ptr<soak_traffic> m_traffic;
    std::shared_ptr<host_processes> m_hosts;
    std::vector<fault_kind> m_kinds;
    std::vector<fault_kind> m_statements;
    time_point m_began;
    std::vector<std::string> m_injected;
};

} // namespace parsleypitch::soak
