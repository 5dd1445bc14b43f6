#pragma once

#include "fleet.hpp"
#include "truth.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief Injects the faults of a scenario at their scheduled times and reverts those with a length.
class fault_injector : public service {
  public:
    /// @param report receives a line for each fault, on a worker thread
    fault_injector(std::vector<fault_spec> faults, std::function<void(const std::string&)> report);

    [[nodiscard]] service_name name() const override { return service_name("fault_injector"); }
    [[nodiscard]] result<void> start(kernel& host) override;

    /// @brief Returns the execution records of all stand-ins; for backend servers ended by a fault, those
    /// saved before the fault.
    [[nodiscard]] execution_records collect_truth();
    /// @brief Faults that could not be injected or reverted, with the error.
    [[nodiscard]] std::vector<std::string> failures() const;

  private:
    void run(const fault_spec& fault, bool undo);
    void save_truth(const std::string& target);

    std::vector<fault_spec> m_faults;
    std::function<void(const std::string&)> m_report;
    std::shared_ptr<fleet> m_fleet;
    mutable std::mutex m_mutex;
    std::map<std::string, nlohmann::json> m_saved;
    std::vector<std::string> m_failures;
};

} // namespace parsleypitch::bench
