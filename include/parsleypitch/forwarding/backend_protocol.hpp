#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/refusal.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/message.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief A part of a prompt; requests with equal parts in front share the KV cache of these.
struct prompt_part {
    prompt_part_id id;
    token_count tokens;
};

/// @brief What a request asks of a model engine.
struct generation_work {
    model_id model;
    token_count prompt;
    token_count max_output;
    /// @brief Parts of the prompt in order; the last one belongs to this request or its session.
    std::vector<prompt_part> parts;
};

/// @brief A request of a caller, decoded.
struct inbound_call {
    request_id id;
    std::string host;
    /// @brief Path without the query.
    std::string path;
    /// @brief Time that the caller will wait, if it says so.
    std::optional<milliseconds> caller_timeout;
    /// @brief The caller has the events of the stream up to this one.
    std::optional<stream_event_id> resume_after;
    std::optional<generation_work> work;
    /// @brief The request without fields that concern one connection or that only this system may set.
    http::request message;
};

/// @brief Where the KV cache of a prompt waits for a decode engine.
struct kv_source {
    endpoint engine;
    kv_handle_id handle;
};

enum class attempt_stage {
    whole,   // the engine answers the request
    prefill, // the engine reads the prompt and keeps its KV cache
};

/// @brief One send of a request to a backend server.
struct attempt_spec {
    backend_server_id target;
    attempt_stage stage = attempt_stage::whole;
    milliseconds time_left{0};
    /// @brief Urgency among the requests of the engine, 0 is the most urgent; empty leaves it to the engine.
    std::optional<unsigned> urgency;
    std::optional<kv_source> source;
    /// @brief Engine from which the target fetches what it lacks of the prompt; empty fetches nothing.
    endpoint fetch_from;
    std::optional<stream_event_id> resume_after;
};

/// @brief What the head of a backend server's answer says beside its status.
struct response_metadata {
    /// @brief The request that is answered.
    request_id request;
    /// @brief The server vouches for the answer.
    bool sealed = false;
    /// @brief Proof that the request did not run there.
    bool not_run = false;
};

/// @brief Tokens of a part that an engine keeps since a change of its cache; 0 if it dropped the part.
struct cache_change {
    prompt_part_id part;
    token_count cached;
};

/// @brief Changes of an engine's cache after a position.
struct cache_report {
    /// @brief Another epoch than before means that the engine started again with an empty cache.
    incarnation epoch;
    /// @brief Position to continue from.
    cache_position next;
    /// @brief Changes before these are missing.
    bool gap = false;
    std::vector<cache_change> changes;
};

/// @brief An order to an engine to change its role.
struct role_order {
    backend_server_id target;
    engine_role to = engine_role::mixed;
    /// @brief Who gives the order, and under which term.
    entry_host_id holder;
    fencing_number term;
};

/// @brief What an engine answered to an order.
enum class role_order_result { accepted, already_in_role, busy, stale_term, refused };

/// @brief The messages of the callers and backend servers as hooks; an adapter supplies them.
struct backend_protocol {
    /// @brief Decodes a request of a caller; `malformed_request` if it can't be understood.
    std::function<result<inbound_call>(http::request)> decode_call;
    /// @brief Encodes one send.
    std::function<http::request(const inbound_call&, const attempt_spec&)> encode_attempt;
    std::function<response_metadata(const http::response_head&)> decode_response_head;
    /// @brief Decodes the answer to a prefill attempt; `backend_broken` if it names no handle.
    std::function<result<kv_handle_id>(const std::string& body)> decode_prefill;
    /// @brief Encodes the release of a KV cache that is not needed.
    std::function<http::request(const kv_handle_id&)> encode_release;
    /// @brief Encodes the question for changes of an engine's cache.
    std::function<http::request(cache_position after, milliseconds wait)> encode_cache_query;
    /// @brief Decodes the answer to it; `backend_broken` if it can't be understood.
    std::function<result<cache_report>(const std::string& body)> decode_cache_report;
    std::function<http::request(const role_order&)> encode_role_order;
    std::function<role_order_result(const http::response_head&)> decode_role_order_response;
    /// @brief Marks a response of this system as the answer to a request.
    std::function<void(const request_id&, http::response_head&)> mark_response;
};

} // namespace parsleypitch
