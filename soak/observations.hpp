#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/route_table.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::soak {

/// @brief One piece of work of an engine for a request.
struct observed_run {
    backend_server_id server;
    backend_service_id service;
    time_point began;
    /// @brief Empty while the engine works.
    std::optional<time_point> ended;
    /// @brief Status that the engine answered, 0 if it answered nothing.
    unsigned status = 0;
    /// @brief Method, target, body and prompt were those of the caller.
    bool unaltered = true;
    /// @brief The KV cache that it went on from was read for the same request.
    bool own_cache = true;
};

/// @brief One arrival of a request at an engine, also one that it refused, but not one that was meant for
/// another.
struct observed_arrival {
    backend_server_id server;
    backend_service_id service;
    time_point at;
    bool accepted = false;
    /// @brief It only has the prompt read.
    bool reads_only = false;
};

/// @brief What a caller got.
struct observed_answer {
    unsigned status = 0;
    bool complete = false;
    bool sealed = false;
    /// @brief The answer names another request.
    bool foreign = false;
    /// @brief No byte of the request was sent.
    bool unsent = false;
    std::string body;
    time_point at;
};

/// @brief A request of a caller with everything that was seen of it.
struct observed_request {
    request_id id;
    entry_host_id host;
    /// @brief Process of the host that was running when the request was sent.
    incarnation process;
    route_id route;
    request_kind kind = request_kind::idempotent;
    bool resumable = false;
    unsigned max_attempts = 1;
    std::string method;
    std::string target;
    std::string body;
    /// @brief Value of the field that lists the parts of the prompt; empty for plain services.
    std::string prompt;
    std::string expected_body;
    time_point sent;
    std::optional<time_point> caller_left;
    std::optional<observed_answer> answer;
    std::vector<observed_arrival> arrivals;
    std::vector<observed_run> runs;

    [[nodiscard]] bool repeatable() const { return kind == request_kind::idempotent || resumable; }
    /// @brief The caller got a whole success.
    [[nodiscard]] bool served() const;
};

/// @brief An order that an engine received.
struct observed_order {
    backend_server_id server;
    entry_host_id holder;
    fencing_number term;
    time_point at;
};

/// @brief A configuration that the store acknowledged, by the service of each route.
struct observed_configuration {
    config_version version;
    time_point acknowledged;
    std::map<route_id, backend_service_id> services;
};

struct time_span {
    time_point from;
    time_point until;
};

/// @brief Everything that callers, engines and the operator saw in one run of the soak.
struct observations {
    std::map<request_id, observed_request> requests;
    std::vector<observed_order> orders;
    std::vector<observed_configuration> configurations;
    /// @brief When the store acknowledged that a server leaves.
    std::map<backend_server_id, time_point> leaving;
    /// @brief SIGTERM of each host.
    std::vector<std::pair<entry_host_id, time_point>> planned_stops;
    /// @brief Trouble other than planned work.
    std::vector<time_span> disturbances;
    /// @brief Faults seen at once: requests that no caller sent, processes that ended by themselves.
    std::vector<std::string> strays;
    /// @brief When the last fault had ended and every process was back.
    std::optional<time_point> calm_since;
};

} // namespace parsleypitch::soak
