#pragma once

#include "cli/config_command.hpp"
#include "cli/rollout.hpp"

#include <parsleypitch/configuration/config_store.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::cli::detail {

/// @brief Parsed options of the subcommands of `config`. Each subcommand uses those that it declares.
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

/// @brief Prints results as text or JSON.
class reporter {
  public:
    reporter(const config_command_hooks& hooks, bool json) : m_hooks(hooks), m_json(json) {}

    /// @brief Prints `value` if JSON was requested, otherwise `text`.
    void print(const std::string& text, const nlohmann::json& value) const;
    /// @brief Prints a progress line to the error stream.
    void progress(const std::string& line) const;
    /// @brief Prints an error.
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

/// @brief Opens the accepted versions of an environment, with write ids that are unique to this operator.
[[nodiscard]] config_store open_config(const config_command_hooks& hooks, const endpoint& store,
                                       const environment_name& name);

} // namespace parsleypitch::cli::detail
