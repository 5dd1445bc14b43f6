#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/forwarding/crash_evidence.hpp>
#include <parsleypitch/forwarding/server_conditions.hpp>
#include <parsleypitch/http/message.hpp>
#include <parsleypitch/usage/usage_counts.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief A part of a prompt; requests whose prompts start with the same parts share the KV cache of these.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// @brief Work that a request requires of a model engine.
struct generation_work {
    model_id model;
    token_count prompt;
    token_count max_output;
    /// @brief Parts of the prompt in order; the last part is specific to this request or its session.
    std::vector<prompt_part> parts;
};

/// @brief The shared parts of a prompt: all but the last, which is specific to one request or session.
[[nodiscard]] inline std::span<const prompt_part> shared_parts(const generation_work& work) {
    return std::span(work.parts).first(work.parts.empty() ? 0 : work.parts.size() - 1);
}

/// @brief Causes for the shared parts.
[[nodiscard]] std::vector<crash_cause> shared_part_keys(const generation_work& work);
/// @brief Ids of the shared parts, separated by commas, for the log.
[[nodiscard]] std::string shared_part_names(const generation_work& work);

/// @brief A decoded request of a caller.
struct inbound_call {
    request_id id;
    std::string host;
    /// @brief Path without the query.
    std::string path;
    /// @brief Time that the caller waits for the response; empty if the request states none.
    std::optional<milliseconds> caller_timeout;
    /// @brief Last event of the stream that the caller has received.
    std::optional<stream_event_id> resume_after;
    std::optional<generation_work> work;
    /// @brief Secret key of the caller's account; empty if the request has none. It is never logged.
    std::string key;
    /// @brief Account of the caller; empty if the configuration has no accounts or the route is public.
    caller_id caller;
    /// @brief The request without hop-by-hop headers and without headers that only this system may set.
    http::request message;
};

/// @brief Identifies a request by what stays the same when its caller sends it again: method, host, path with
/// the query, account or credentials, prompt parts and body. Ids of attempts, deadlines and resume positions
/// differ.
[[nodiscard]] crash_cause identify(const inbound_call& call);

/// @brief The prefill engine and the handle from which a decode engine fetches the KV cache of a prompt.
struct kv_source {
    endpoint engine;
    kv_handle_id handle;
};

enum class attempt_stage {
    whole,   // the engine generates the response
    prefill, // the engine computes the KV cache of the prompt and holds it for a decode engine
};

/// @brief Parameters of one attempt to send a request to a backend server.
struct attempt_spec {
    backend_server_id target;
    attempt_stage stage = attempt_stage::whole;
    milliseconds time_left{0};
    /// @brief Priority among the requests of the engine, 0 is the most urgent; empty uses the engine's
    /// default.
    std::optional<unsigned> urgency;
    std::optional<kv_source> source;
    /// @brief Engine from which the target fetches KV cache that it lacks; empty if nothing is fetched.
    endpoint fetch_from;
    std::optional<stream_event_id> resume_after;
};

/// @brief Information in the headers of a backend server's response.
struct response_metadata {
    /// @brief The request that the response belongs to.
    request_id request;
    /// @brief The server has sealed the response as its own.
    bool sealed = false;
    /// @brief The server states that it did not run the request.
    bool not_run = false;
    /// @brief What the server says about itself.
    server_notice notice;
};

/// @brief Number of tokens of a prompt part that an engine has cached after a change; 0 if it was evicted.
struct cache_change {
    prompt_part_id part;
    token_count cached;
};

/// @brief Changes of an engine's prefix cache after a position.
struct cache_report {
    /// @brief Changes when the engine restarts with an empty cache.
    incarnation epoch;
    /// @brief Position from which the next query continues.
    cache_position next;
    /// @brief Earlier changes were lost.
    bool gap = false;
    std::vector<cache_change> changes;
};

/// @brief An order to an engine to change its role.
struct role_order {
    backend_server_id target;
    engine_role to = engine_role::mixed;
    /// @brief Entry host that issues the order; `term` is the fencing number of its lease.
    entry_host_id holder;
    fencing_number term;
};

/// @brief An engine's response to a role order.
enum class role_order_result { accepted, already_in_role, busy, stale_term, refused };

/// @brief An order to the platform to run a number of engines of a service in a zone.
struct scaling_order {
    backend_service_id service;
    availability_zone_id zone;
    std::uint64_t desired = 0;
    /// @brief Entry host that issues the order; `term` is the fencing number of its lease.
    entry_host_id holder;
    fencing_number term;
};

/// @brief Encoders and decoders for the messages of callers and backend servers, supplied by a platform
/// adapter.
struct backend_protocol {
    /// @brief Decodes a request of a caller; `malformed_request` if it is invalid.
    std::function<result<inbound_call>(http::request)> decode_call;
    /// @brief Removes the headers by which a caller identifies itself, so that no server gets its key. Called
    /// if the configuration holds accounts.
    std::function<void(inbound_call&)> remove_credentials = [](inbound_call&) {};
    /// @brief Encodes the request of one attempt.
    std::function<http::request(const inbound_call&, const attempt_spec&)> encode_attempt;
    std::function<response_metadata(const http::response_head&)> decode_response_head;
    /// @brief Decodes the response to a prefill attempt; `backend_broken` if it contains no KV cache handle.
    std::function<result<kv_handle_id>(const std::string& body)> decode_prefill;
    /// @brief Encodes the release of a KV cache that is no longer needed.
    std::function<http::request(const kv_handle_id&)> encode_release;
    /// @brief Encodes the query for changes of an engine's cache after a position.
    std::function<http::request(cache_position after, milliseconds wait)> encode_cache_query;
    /// @brief Decodes the response to a cache query; `backend_broken` if it is invalid.
    std::function<result<cache_report>(const std::string& body)> decode_cache_report;
    /// @brief Encodes the query for the start of an engine, which it answers without delay.
    std::function<http::request()> encode_start_query;
    /// @brief Decodes the response to it; empty if it does not tell the start.
    std::function<std::optional<incarnation>(const std::string& body)> decode_start;
    std::function<http::request(const role_order&)> encode_role_order;
    std::function<role_order_result(const http::response_head&)> decode_role_order_response;
    /// @brief Encodes the report of the usage in one window, under the term of its sender.
    std::function<http::request(const usage_report&, const entry_host_id& holder, fencing_number term)>
        encode_usage_report;
    /// @brief Encodes an order to the platform's service for duties of the lease holder.
    std::function<http::request(const scaling_order&)> encode_scaling_order;
    /// @brief Sets the request id on a response that this system generates.
    std::function<void(const request_id&, http::response_head&)> mark_response;
};

} // namespace parsleypitch
