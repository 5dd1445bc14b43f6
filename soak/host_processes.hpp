#pragma once

#include "promises.hpp"
#include "soak_plan.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <process.hpp>

#include <optional>
#include <vector>

namespace parsleypitch::soak {

inline const service_name host_processes_name("host_processes");

/// @brief The entry hosts under test, real processes that are started again whenever they end.
///
/// All functions but those of `service` belong to the control thread.
class host_processes : public service {
  public:
    explicit host_processes(soak_plan plan) : m_plan(std::move(plan)) {}

    [[nodiscard]] service_name name() const override { return host_processes_name; }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief SIGKILL; the process starts again after `down`.
    void kill(std::size_t host, duration down);
    /// @brief SIGSTOP, and SIGCONT after `still`.
    void pause(std::size_t host, duration still);
    /// @brief SIGTERM; the process starts again at once when it has ended.
    void terminate(std::size_t host);
    /// @brief SIGTERM to a process that is already stopping.
    void repeat_terminate(std::size_t host);
    /// @brief Writes the settings anew and sends SIGHUP.
    void reload(std::size_t host);
    [[nodiscard]] bool running(std::size_t host) const;

  private:
    struct entry_host {
        std::optional<bench::process> process;
        incarnation started;
        /// @brief When the process is to be started if it does not run.
        std::optional<time_point> start_at;
        /// @brief When SIGTERM was sent.
        std::optional<time_point> stopping;
        duration down{};
        bool killed = false;
        /// @brief Paused since it was started, so that its grace proves nothing.
        bool was_paused = false;
    };

    [[nodiscard]] result<void> launch(std::size_t host);
    [[nodiscard]] result<void> write_settings(std::size_t host) const;
    void watch(std::size_t host);
    void note(const std::string& stray);

    soak_plan m_plan;
    /// What the hosts are told to keep is what the run is judged by.
    promise_bounds m_bounds;
    kernel* m_kernel = nullptr;
    std::shared_ptr<soak_traffic> m_traffic;
    std::vector<entry_host> m_hosts;
    bool m_stopped = false;
};

} // namespace parsleypitch::soak
