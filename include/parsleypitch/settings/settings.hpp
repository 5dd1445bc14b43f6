#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/membership/member.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief Where the platform's services listen.
struct platform_settings {
    endpoint objects;
    endpoint hosts;
};

/// @brief Settings of an entry host.
struct entry_settings {
    entry_host_id id;
    availability_zone_id zone;
    environment_name environment;
    endpoint callers;
    endpoint peers;
    platform_settings platform;
    /// @brief gRPC endpoints of other entry hosts to contact first.
    std::vector<endpoint> seeds;
    /// @brief Threads for callers; each open stream occupies one.
    unsigned caller_threads = 2048;
    byte_count max_body{1'000'000};
    /// @brief Whether this host may hold the lease of its zone and plan changes of engines.
    bool planner = true;
    /// @brief Log severity, 0 is all.
    int log_level = 0;
};

/// @brief Settings of the agent beside a backend server.
struct agent_settings {
    backend_server_id id;
    availability_zone_id zone;
    environment_name environment;
    member_kind kind = member_kind::engine;
    /// @brief Set if the backend server is a plain service.
    plain_service_id plain_service;
    endpoint listen;
    endpoint backend;
    platform_settings platform;
    /// @brief gRPC endpoints of entry hosts to contact first.
    std::vector<endpoint> seeds;
    /// @brief Requests that the agent lets into the backend server at the same time.
    request_count slots{16};
    /// @brief Requests that may wait for a slot.
    request_count queue_limit{256};
    int log_level = 0;
};

/// @brief Parses the settings of an entry host.
/// @param text TOML text
/// @param place name of the file for error messages
/// @return `malformed_document`, `unknown_key`, `missing_key`, `wrong_type` or `out_of_range`
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text, std::string_view place);

/// @brief Parses the settings of an agent, with the errors of `parse_entry_settings`.
[[nodiscard]] result<agent_settings> parse_agent_settings(std::string_view text, std::string_view place);

/// @brief Reads a whole file.
/// @return `unreadable_file` with the path
[[nodiscard]] result<std::string> read_file(const std::string& path);

} // namespace parsleypitch
