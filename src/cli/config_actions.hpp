#pragma once

#include "cli/config_command.hpp"
#include "cli/rollout.hpp"

#include <parsleypitch/configuration/config_store.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::cli::detail {

/// @brief Options of all nested commands as typed values; each command declares those that it takes.
struct config_options {
    environment_name env;
    environment_name from;
    environment_name to;
    endpoint store;
    std::optional<config_version> expect;
    std::vector<endpoint> wait;
    std::vector<std::string> files;
    bool history = false;
    bool json = false;
};

/// @brief Writes results as text or JSON.
class reporter {
  public:
    reporter(const config_command_hooks& hooks, bool json) : m_hooks(hooks), m_json(json) {}

    /// @brief Prints one of the two forms.
    void print(const std::string& text, const nlohmann::json& value) const;
    /// @brief Prints a line of progress to the error stream.
    void progress(const std::string& line) const;
    /// @brief Prints a failure.
    /// @return `exit_failure`
    [[nodiscard]] int failure(const error& what) const;

  private:
    const config_command_hooks& m_hooks;
    bool m_json;
};

using config_action = int (*)(const config_command_hooks&, const config_options&);

[[nodiscard]] int check_config(const config_command_hooks& hooks, const config_options& options);
[[nodiscard]] int diff_config(const config_command_hooks& hooks, const config_options& options);
[[nodiscard]] int apply_config(const config_command_hooks& hooks, const config_options& options);
[[nodiscard]] int promote_config(const config_command_hooks& hooks, const config_options& options);
[[nodiscard]] int show_config(const config_command_hooks& hooks, const config_options& options);

/// @brief The accepted versions of an environment, with write ids that no other operator has.
[[nodiscard]] config_store open_config(const config_command_hooks& hooks, const endpoint& store,
                                       const environment_name& name);

} // namespace parsleypitch::cli::detail
