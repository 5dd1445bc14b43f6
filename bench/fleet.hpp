#pragma once

#include "delay_proxy.hpp"
#include "fleet_documents.hpp"
#include "process.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace parsleypitch::bench {

enum class process_role { platform, engine, plain_service, agent, entry_host };

[[nodiscard]] std::string_view to_string(process_role role) noexcept;

/// @brief Usage summed over the running processes of one role.
struct role_usage {
    std::size_t processes = 0;
    process_usage total;
};

/// @brief Start options of a fleet.
struct fleet_options {
    fleet_spec spec;
    /// @brief Folder of the binaries.
    std::string binaries;
    /// @brief Folder for settings files and output of the processes.
    std::string folder;
    /// @brief Connects entry hosts of different zones through relays that add `spec.delay`.
    bool relays = false;
    /// @brief Roles in which the engines start.
    role_split split;
    /// @brief Lines added to the settings of each entry host, for example fixed engine roles.
    std::string entry_settings_extra;
};

/// @brief All processes of one deployment on loopback: the stand-ins and the real binary.
class fleet : public service {
  public:
    explicit fleet(fleet_options options);
    ~fleet() override;

    [[nodiscard]] service_name name() const override { return service_name("fleet"); }
    /// @brief Starts all processes, applies the environment document and waits until every entry host is
    /// ready.
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Ends all processes: SIGTERM, then SIGKILL after 5 s.
    void stop() override;

    [[nodiscard]] const fleet_plan& plan() const noexcept { return m_plan; }
    /// @brief Injects or reverts a fault; blocks for the duration of the calls involved.
    /// @return `out_of_range` if the target does not exist or the fault does not apply to it
    [[nodiscard]] result<void> inject(const fault_spec& fault);
    [[nodiscard]] result<void> undo(const fault_spec& fault);

    /// @brief Returns the current usage by role, without processes that have ended.
    [[nodiscard]] std::map<process_role, role_usage> usage() const;
    /// @brief Processes that ended although neither a fault nor `stop` ended them, with the end of their
    /// logs.
    [[nodiscard]] std::vector<std::string> unexpected_ends();
    /// @brief Processes that needed SIGKILL when the fleet stopped.
    [[nodiscard]] const std::vector<std::string>& killed_at_stop() const noexcept { return m_killed; }

  private:
    struct member {
        process_role role;
        process child;
        bool end_expected = false;
    };

    result<void> start_member(process_role role, const std::string& name, std::vector<std::string> command);
    result<void> start_stand_ins();
    [[nodiscard]] std::vector<std::string> backend_command(std::size_t index) const;
    result<void> start_agents_and_entries(kernel& host);
    result<void> apply_document();
    result<void> run_command(const std::string& name, std::vector<std::string> arguments);
    result<void> register_hosts();
    result<void> wait_until_live();
    result<std::string> write_file(const std::string& name, const std::string& text) const;
    std::vector<endpoint> entry_seeds(const entry_plan& entry, std::vector<zone_link>& links) const;
    std::vector<endpoint> agent_seeds(const backend_plan& backend) const;
    result<void> signal_member(const std::string& name, int number, bool ends);
    result<void> drain_member(const std::string& name);
    result<void> crash_backend(const std::string& name);
    result<void> set_cut(const std::string& zone, bool cut);

    fleet_options m_options;
    /// Shared by processes and relays: a probe alone could return a port that is planned but not bound yet.
    std::function<endpoint()> m_next_endpoint;
    fleet_plan m_plan;
    std::shared_ptr<delay_proxy> m_proxy;
    mutable std::mutex m_mutex;
    std::vector<member> m_members;
    std::vector<std::string> m_killed;
};

/// @brief Returns a generator of loopback endpoints with free ports that does not repeat a port until it
/// wraps.
[[nodiscard]] std::function<endpoint()> free_endpoints();

} // namespace parsleypitch::bench
