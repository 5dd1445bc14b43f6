#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/membership/member.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief Addresses of the platform's services.
struct platform_settings {
    /// @brief The object store.
    endpoint objects;
    /// @brief The platform's host list.
    endpoint hosts;
};

/// @brief Settings of an entry host.
struct entry_settings {
    entry_host_id id;
    availability_zone_id zone;
    environment_name environment;
    /// @brief Address on which the host listens for callers.
    endpoint callers;
    /// @brief gRPC address on which the host listens for other processes.
    endpoint peers;
    platform_settings platform;
    /// @brief gRPC endpoints of other entry hosts to contact first.
    std::vector<endpoint> seeds;
    /// @brief Number of threads that serve callers; each open stream occupies one.
    unsigned caller_threads = 2048;
    /// @brief Maximum size of the body of a request.
    byte_count max_body{1'000'000};
    /// @brief Whether this host may hold the lease of its zone and plan changes of its engines.
    bool planner = true;
    /// @brief Minimum severity of the log lines that are written, as in glog; 0 writes all.
    int log_level = 0;
};

/// @brief Settings of the agent that runs next to a backend server.
struct agent_settings {
    backend_server_id id;
    availability_zone_id zone;
    environment_name environment;
    member_kind kind = member_kind::engine;
    /// @brief Plain service that the backend server runs; empty for an engine.
    plain_service_id plain_service;
    /// @brief gRPC address on which the agent listens.
    endpoint listen;
    /// @brief Address of the backend server.
    endpoint backend;
    platform_settings platform;
    /// @brief gRPC endpoints of entry hosts to contact first.
    std::vector<endpoint> seeds;
    /// @brief Maximum number of concurrent requests to the backend server.
    request_count slots{16};
    /// @brief Maximum number of requests that wait for a slot.
    request_count queue_limit{256};
    int log_level = 0;
};

/// @brief Parses the settings of an entry host.
/// @param text TOML text
/// @param file_name used in error messages
/// @return the settings; `malformed_document`, `unknown_key`, `missing_key`, `wrong_type` or `out_of_range`
/// after the first mistake, with all mistakes in the detail
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text, std::string_view file_name);

/// @brief Parses the settings of an agent, with the errors of `parse_entry_settings`.
[[nodiscard]] result<agent_settings> parse_agent_settings(std::string_view text, std::string_view file_name);

/// @brief Reads a whole file.
/// @return the content, or `unreadable_file` with the path
[[nodiscard]] result<std::string> read_file(const std::string& path);

} // namespace parsleypitch
