#pragma once

#include "fleet_documents.hpp"
#include "process.hpp"

#include <deque>
#include <functional>
#include <string>

namespace parsleypitch::bench {

/// @brief The processes of one measurement; the destructor kills them.
class slopes_rig {
  public:
    /// @param binaries folder of the binaries
    /// @param folder existing folder for settings files and output
    slopes_rig(std::string binaries, std::string folder);
    slopes_rig(const slopes_rig&) = delete;
    slopes_rig& operator=(const slopes_rig&) = delete;
    slopes_rig(slopes_rig&&) = delete;
    slopes_rig& operator=(slopes_rig&&) = delete;
    ~slopes_rig();

    /// @brief Returns a free loopback endpoint.
    [[nodiscard]] endpoint next_endpoint() { return m_next_endpoint(); }
    [[nodiscard]] const endpoint& platform() const noexcept { return m_platform; }

    /// @brief Starts the platform stand-in.
    [[nodiscard]] result<void> start_platform(const std::vector<std::string>& options);
    /// @brief Sets the platform address for settings written from now on, for example a relay's address.
    void set_platform_route(endpoint route) { m_platform_route = std::move(route); }
    /// @brief Starts a model engine or a plain service stand-in.
    [[nodiscard]] result<void> start_backend(const fleet_spec& spec, const backend_plan& backend);
    /// @brief Starts an agent.
    /// @return the process id
    [[nodiscard]] result<pid_t> start_agent(const fleet_spec& spec, const backend_plan& backend,
                                            const std::vector<endpoint>& seeds);
    /// @brief Starts an entry host.
    /// @param extra lines added to its table in the settings
    /// @return the process id
    [[nodiscard]] result<pid_t> start_entry(const entry_plan& entry, const std::vector<endpoint>& seeds,
                                            const std::string& extra);
    /// @brief Applies a document to `trial` and promotes it to `production`.
    [[nodiscard]] result<void> apply(const std::string& document);

  private:
    result<pid_t> start(const std::string& name, std::vector<std::string> command);
    result<void> run_command(const std::string& name, std::vector<std::string> arguments);
    result<std::string> write_file(const std::string& name, const std::string& text) const;

    std::string m_binaries;
    std::string m_folder;
    std::function<endpoint()> m_next_endpoint;
    endpoint m_platform;
    endpoint m_platform_route;
    std::deque<process> m_processes;
    std::size_t m_started = 0;
};

/// @brief Waits until an entry host reports at least the given number of live backend servers.
/// @return `deadline_exceeded`
[[nodiscard]] result<void> wait_until_serving(const endpoint& callers, std::size_t backend_servers);

} // namespace parsleypitch::bench
