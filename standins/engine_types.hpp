#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <optional>
#include <set>
#include <string>

namespace parsleypitch::standins {

/// @brief Number of an accepted request within one engine, in order of arrival.
using sequence_number = number_id<struct sequence_number_tag>;
using order_id = string_id<struct order_id_tag>;

/// @brief Model, version, adapters and role that an engine serves.
struct engine_setup {
    engine_role role = engine_role::mixed;
    model_id model;
    model_version version;
    std::set<adapter_id> adapters;

    friend bool operator==(const engine_setup&, const engine_setup&) = default;
};

struct engine_options {
    std::string id;
    engine_setup setup;
    std::size_t slots = 32;
    std::size_t max_waiting = 128;
    token_count prefill_chunk{512};
    token_count prefill_role_chunk{2048};
    kv_block_count kv_blocks{4000};
    double base_ms = 4.0;
    double per_sequence_ms = 0.12;
    double per_prefill_token_ms = 0.012;
    double per_import_block_ms = 0.05;
    milliseconds cache_event_lag{500};
    milliseconds load_lag{200};
    milliseconds role_change{2500};
    milliseconds weight_load{2000};
    milliseconds adapter_load{200};
    milliseconds export_ttl{10'000};
    byte_count weight_bytes{20'000'000'000};
    bool checks_fencing = false;
    endpoint platform;
};

struct generate_request {
    request_id id;
    attempt_number attempt;
    model_id model;
    model_version version;
    adapter_id adapter;
    std::string prompt;
    token_count prompt_tokens;
    token_count max_tokens; ///< length of the whole answer, including the tokens before `resume_from`
    int priority = 0;
    token_index resume_from;
    endpoint kv_source;
    bool prefill_only = false;
};

/// @brief Result of submitting a request; all but `accepted` mean that it did not run.
enum class submit_outcome { accepted, malformed, wrong_model, wrong_role, changing, too_many_waiting };

struct submission {
    submit_outcome outcome = submit_outcome::accepted;
    sequence_number sequence;
};

/// @brief Why a sequence ended: all tokens emitted, cancelled, or terminated by a change of setup.
enum class sequence_end { done, cancelled, cut };

/// @brief One token of a sequence, its end, or both.
struct emission {
    sequence_number sequence;
    request_id id;
    attempt_number attempt;
    std::optional<token_index> index;
    std::string text;
    std::optional<sequence_end> end;
    token_count emitted;
    token_count cached_prompt;
};

/// @brief Record of an accepted request, for `/admin/truth`.
struct request_record {
    request_id id;
    attempt_number attempt;
    token_index first_index;
    token_count emitted;
    token_count cached_prompt;
    token_count prompt;
    int priority = 0;
    time_point accepted;
    std::optional<time_point> ended;
    std::optional<sequence_end> end;
};

struct engine_load {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 0;
    kv_block_count kv_used;
    kv_block_count kv_total;
    token_count prefill_waiting;
    double step_ms = 0;
    milliseconds age{0};
};

/// @brief Text of token `index` of the answer to a prompt; depends on nothing else.
[[nodiscard]] std::string token_text(const std::string& prompt, token_index index);

[[nodiscard]] std::string_view to_string(sequence_end end) noexcept;
[[nodiscard]] std::string_view to_string(submit_outcome outcome) noexcept;

} // namespace parsleypitch::standins
