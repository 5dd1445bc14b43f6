#include "entry/http_messages.hpp"

#include <nlohmann/json.hpp>

#include <cctype>

namespace parsleypitch::detail {

using nlohmann::json;

namespace {

constexpr std::int64_t default_max_tokens = 128;
constexpr std::int64_t max_tokens_limit = 32'768;

result<std::string> text_field(const json& body, const char* key, bool required) {
    const auto found = body.find(key);
    if (found == body.end()) {
        if (required) {
            return fail(errc::malformed_request, std::string(key) + ": the field is required");
        }
        return std::string();
    }
    if (!found->is_string()) {
        return fail(errc::malformed_request, std::string(key) + ": expected a string");
    }
    return found->get<std::string>();
}

result<std::int64_t> max_tokens_field(const json& body) {
    const auto found = body.find("max_tokens");
    if (found == body.end()) {
        return default_max_tokens;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
        found->get<std::int64_t>() > max_tokens_limit) {
        return fail(errc::malformed_request,
                    "max_tokens: expected an integer from 1 to " + std::to_string(max_tokens_limit));
    }
    return found->get<std::int64_t>();
}

result<std::string> chat_prompt(const json& body) {
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        return fail(errc::malformed_request, "messages: expected a non-empty array");
    }
    std::string prompt;
    for (const json& message : *found) {
        if (!message.is_object()) {
            return fail(errc::malformed_request, "messages: expected objects with role and content");
        }
        BOOST_OUTCOME_TRY(role, text_field(message, "role", true));
        BOOST_OUTCOME_TRY(content, text_field(message, "content", true));
        prompt.append(role).append(": ").append(content).append("\n");
    }
    return prompt;
}

const char* object_name(generation_endpoint kind, bool chunk) {
    if (kind == generation_endpoint::completions) {
        return "text_completion";
    }
    return chunk ? "chat.completion.chunk" : "chat.completion";
}

json common_fields(const caller_request& request, generation_endpoint kind, bool chunk) {
    return {{"id", request.id.str()},
            {"object", object_name(kind, chunk)},
            {"model", std::get<generate_work>(request.work).model.str()}};
}

json usage_json(const caller_request& request, const generation_end& end) {
    const std::int64_t prompt = std::get<generate_work>(request.work).prompt_tokens.value();
    return {{"prompt_tokens", prompt},
            {"completion_tokens", end.tokens.value()},
            {"total_tokens", prompt + end.tokens.value()}};
}

/// Replaces invalid UTF-8, as the details of refusals may quote arbitrary bytes from a caller.
std::string serialize(const json& body) {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string server_sent_event(const json& body) {
    return "data: " + serialize(body) + "\n\n";
}

json refusal_json(const request_id& id, const refusal& refused) {
    return {{"error",
             {{"code", refused.cause.code.value()},
              {"reason", reason_name(refused.cause.code)},
              {"message", refused.cause.detail},
              {"run_state", std::string(to_string(refused.ran))},
              {"retry_after_ms", refused.retry_after.count()},
              {"request_id", id.str()}}}};
}

} // namespace

token_count count_tokens(std::string_view prompt) {
    std::int64_t words = 0;
    bool in_word = false;
    for (const char c : prompt) {
        const bool space = std::isspace(static_cast<unsigned char>(c)) != 0;
        words += !space && !in_word ? 1 : 0;
        in_word = !space;
    }
    return token_count(words);
}

result<generation_body> parse_generation_body(std::string_view body, generation_endpoint kind) {
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return fail(errc::malformed_request, "expected a JSON object as the body");
    }
    generation_body out;
    BOOST_OUTCOME_TRY(model, text_field(parsed, "model", true));
    BOOST_OUTCOME_TRY(adapter, text_field(parsed, "adapter", false));
    BOOST_OUTCOME_TRY(max_tokens, max_tokens_field(parsed));
    BOOST_OUTCOME_TRY(prompt, kind == generation_endpoint::chat ? chat_prompt(parsed)
                                                                : text_field(parsed, "prompt", true));
    out.work.prompt = std::move(prompt);
    out.work.model = model_id(std::move(model));
    out.work.adapter = adapter_id(std::move(adapter));
    out.work.max_tokens = token_count(max_tokens);
    out.work.prompt_tokens = count_tokens(out.work.prompt);
    const auto stream = parsed.find("stream");
    if (stream != parsed.end() && !stream->is_boolean()) {
        return fail(errc::malformed_request, "stream: expected true or false");
    }
    out.stream = stream != parsed.end() && stream->get<bool>();
    return out;
}

std::string encode_token_event(const caller_request& request, const token_event& token,
                               generation_endpoint kind) {
    json body = common_fields(request, kind, true);
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (kind == generation_endpoint::chat) {
        choice["delta"] = {{"content", token.text}};
    } else {
        choice["text"] = token.text;
    }
    body["choices"] = json::array({choice});
    return server_sent_event(body);
}

std::string encode_end_event(const caller_request& request, const generation_end& end,
                             generation_endpoint kind) {
    json body = common_fields(request, kind, true);
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (kind == generation_endpoint::chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    body["choices"] = json::array({choice});
    body["usage"] = usage_json(request, end);
    return server_sent_event(body) + "data: [DONE]\n\n";
}

std::string encode_failure_event(const caller_request& request, const refusal& refused) {
    return server_sent_event(refusal_json(request.id, refused));
}

std::string encode_whole_answer(const caller_request& request, const std::string& text,
                                const generation_end& end, generation_endpoint kind) {
    json body = common_fields(request, kind, false);
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (kind == generation_endpoint::chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    body["choices"] = json::array({choice});
    body["usage"] = usage_json(request, end);
    return serialize(body);
}

std::string encode_refusal(const request_id& id, const refusal& refused) {
    return serialize(refusal_json(id, refused));
}

namespace {

/// Status of a refusal whose reason has no status of its own. 503 says that the request did not run.
int status_by_run_state(const refusal& refused) {
    if (refused.ran == run_state::not_run) {
        return 503;
    }
    const bool has_no_answer =
        refused.ran == run_state::outcome_unknown && refused.cause.code != errc::backend_broken;
    return has_no_answer ? 504 : 502;
}

} // namespace

int http_status(const refusal& refused) {
    if (refused.cause.code.category() != parsleypitch_category()) {
        return 500;
    }
    switch (static_cast<errc>(refused.cause.code.value())) {
    case errc::malformed_request:
    case errc::idempotency_key_required:
        return 400;
    case errc::unknown_account:
        return 401;
    case errc::rank_not_allowed:
        return 403;
    case errc::unknown_model:
    case errc::unknown_service:
    case errc::unknown_operation:
        return 404;
    case errc::idempotency_key_reused:
        return 422;
    case errc::body_too_large:
        return 413;
    case errc::account_over_share:
    case errc::queue_full:
    case errc::deadline_unreachable:
        return refused.ran == run_state::not_run ? 429 : status_by_run_state(refused);
    case errc::outcome_unknown:
        return 504;
    default:
        return status_by_run_state(refused);
    }
}

} // namespace parsleypitch::detail
