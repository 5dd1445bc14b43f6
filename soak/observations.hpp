#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/route_table.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch::soak {

/// @brief One execution of a request by an engine or plain service.
struct observed_run {
    backend_server_id server;
    backend_service_id service;
    time_point began;
    /// @brief Empty while the run is in progress.
    std::optional<time_point> ended;
    /// @brief HTTP status of the answer, 0 if there was none.
    unsigned status = 0;
    /// @brief Whether method, target, body and prompt were those that the caller sent.
    bool unaltered = true;
    /// @brief Whether an imported KV cache was computed for the same request; true without an import.
    bool own_kv_cache = true;
    /// @brief Account in whose name the engine got the request.
    caller_id account;
    /// @brief Whether the engine got the key of the caller.
    bool shows_key = false;
};

/// @brief One arrival of a request at an engine, also if it was refused, but not if it was addressed to
/// another server.
struct observed_arrival {
    backend_server_id server;
    backend_service_id service;
    time_point at;
    bool accepted = false;
    /// @brief Whether the engine only computes the KV cache of the prompt.
    bool prefill_only = false;
};

/// @brief The answer that a caller received.
struct observed_answer {
    unsigned status = 0;
    /// @brief Whether the answer ended regularly.
    bool complete = false;
    /// @brief Whether it carries the response seal, which only engines and plain services set.
    bool sealed = false;
    /// @brief Whether the answer carries the id of another request.
    bool foreign = false;
    /// @brief Whether the connection failed before any byte of the request was sent.
    bool unsent = false;
    std::string body;
    time_point at;
};

/// @brief A request of a caller with everything that was observed about it.
struct observed_request {
    request_id id;
    entry_host_id host;
    /// @brief Process of the host that was running when the request was sent.
    incarnation process;
    route_id route;
    request_kind kind = request_kind::idempotent;
    bool resumable = false;
    unsigned max_attempts = 1;
    /// @brief Key of the caller's account.
    std::string key;
    /// @brief Whether all configurations hold the key.
    bool has_lasting_key = true;
    std::string method;
    std::string target;
    std::string body;
    /// @brief Value of the header that lists the parts of the prompt; empty for plain services.
    std::string prompt;
    std::string expected_body;
    time_point sent;
    /// @brief When the caller gave up and closed its connection.
    std::optional<time_point> caller_disconnected_at;
    std::optional<observed_answer> answer;
    std::vector<observed_arrival> arrivals;
    std::vector<observed_run> runs;

    [[nodiscard]] bool repeatable() const { return kind == request_kind::idempotent || resumable; }
    /// @brief Whether the caller received a complete successful answer.
    [[nodiscard]] bool served() const;
};

/// @brief A role change order that an engine received.
struct observed_order {
    backend_server_id server;
    entry_host_id holder;
    fencing_number term;
    time_point at;
};

/// @brief A usage report that a host sent to the platform's service for duties.
struct observed_usage_report {
    std::uint64_t window = 0;
    /// @brief The body of the call.
    std::string content;
};

/// @brief A configuration that the store acknowledged, with the service of each route.
struct observed_configuration {
    config_version version;
    time_point acknowledged;
    std::map<route_id, backend_service_id> services;
    /// @brief Account of each key; empty if callers need no account.
    std::map<std::string, caller_id> accounts;

    /// @brief Whether a run of a request is allowed.
    [[nodiscard]] bool allows(const observed_request& request, const observed_run& run) const {
        const auto account = accounts.find(request.key);
        return services.at(request.route) == run.service &&
               (accounts.empty() || (account != accounts.end() && account->second == run.account));
    }
};

/// @brief A server told a process of a host in an answer that it leaves, or that it wants no requests for a
/// time.
struct observed_statement {
    backend_server_id server;
    entry_host_id host;
    incarnation process;
    time_point at;
    /// @brief Empty if the server leaves.
    std::optional<duration> closed_for;
};

struct time_span {
    time_point from;
    time_point until;
};

/// @brief Time in which a host was paused, or in which no host reached a server undisturbed.
struct observed_interruption {
    std::optional<entry_host_id> host;
    std::optional<backend_server_id> server;
    time_span span;
};

/// @brief Everything recorded at callers, engines and the operator in one run of the soak.
struct observations {
    std::map<request_id, observed_request> requests;
    /// @brief Orders to engines, and calls of duties with the service in place of an engine.
    std::vector<observed_order> orders;
    std::vector<observed_usage_report> usage_reports;
    std::vector<observed_configuration> configurations;
    /// @brief When the store acknowledged that a server is draining.
    std::map<backend_server_id, time_point> leaving;
    std::vector<observed_statement> statements;
    std::vector<observed_interruption> interruptions;
    /// @brief Time of every SIGTERM sent to a host.
    std::vector<std::pair<entry_host_id, time_point>> planned_stops;
    /// @brief Times during which injected faults, other than planned operations, may have an effect.
    std::vector<time_span> disturbances;
    /// @brief Unexpected events, such as requests that no caller sent or processes that exited by themselves.
    std::vector<std::string> anomalies;
    /// @brief When the fault phase ended; empty if recovery is not to be checked.
    std::optional<time_point> faults_ended;
};

} // namespace parsleypitch::soak
