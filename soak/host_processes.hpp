#pragma once

#include "guarantees.hpp"
#include "soak_plan.hpp"
#include "soak_traffic.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <process.hpp>

#include <optional>
#include <vector>

namespace parsleypitch::soak {

inline const service_name host_processes_name("host_processes");

/// @brief The entry hosts under test: real processes that are restarted whenever they exit.
///
/// Except for those of `service`, all functions run on the control thread.
class host_processes : public service {
  public:
    explicit host_processes(soak_plan plan) : m_plan(std::move(plan)) {}

    [[nodiscard]] service_name name() const override { return host_processes_name; }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Sends SIGKILL; the process is restarted after `restart_delay`.
    void kill(std::size_t host, duration restart_delay);
    /// @brief Sends SIGSTOP, then SIGCONT after `pause_length`.
    void pause(std::size_t host, duration pause_length);
    /// @brief Sends SIGTERM; the process is restarted as soon as it has exited.
    void terminate(std::size_t host);
    /// @brief Sends another SIGTERM to a process that is already stopping.
    void terminate_again(std::size_t host);
    /// @brief Rewrites the settings file and sends SIGHUP.
    void reload(std::size_t host);
    [[nodiscard]] bool running(std::size_t host) const;
    /// @brief Most memory that the running process of a host has had resident.
    [[nodiscard]] byte_count peak_memory(std::size_t host) const;

  private:
    struct entry_host {
        std::optional<bench::process> process;
        incarnation started;
        /// @brief When to restart the process if it is not running.
        std::optional<time_point> start_at;
        /// @brief When the first SIGTERM was sent.
        std::optional<time_point> stopping;
        duration restart_delay{};
        bool killed = false;
        /// @brief Whether the process was paused since its start; it may then exceed the stop grace period.
        bool was_paused = false;
    };

    [[nodiscard]] result<void> launch(std::size_t host);
    [[nodiscard]] result<void> write_settings(std::size_t host) const;
    void supervise(std::size_t host);
    void report_anomaly(const std::string& anomaly);

    soak_plan m_plan;
    /// The same bounds are written to the settings of the hosts and used to check the run.
    guarantee_bounds m_bounds;
    kernel* m_kernel = nullptr;
    std::shared_ptr<soak_traffic> m_traffic;
    std::vector<entry_host> m_hosts;
    bool m_stopped = false;
};

} // namespace parsleypitch::soak
