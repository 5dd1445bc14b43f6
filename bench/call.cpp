#include "call.hpp"

#include "fleet_documents.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::bench {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

std::optional<run_state> parse_run_state(std::string text) {
    for (char& each : text) {
        each = each == ' ' ? '_' : each;
    }
    for (const run_state state : {run_state::not_run, run_state::ran, run_state::outcome_unknown}) {
        std::string name(to_string(state));
        for (char& each : name) {
            each = each == ' ' ? '_' : each;
        }
        if (name == text) {
            return state;
        }
    }
    return std::nullopt;
}

std::string text_of(const json& answer) {
    const auto choices = answer.find("choices");
    if (choices == answer.end() || !choices->is_array() || choices->empty()) {
        return {};
    }
    return choices->front().value("text", std::string());
}

/// Status 409 with `confirmed_for` comes from the plain service itself, so the call ran.
bool is_service_answer(int status, const json& body) {
    return status == status_ok || (status == status_conflict && body.contains("confirmed_for"));
}

} // namespace

text_check check_text(std::string_view text, std::string_view prompt, token_count tokens) {
    for (std::int64_t index = 0; index < tokens.value(); ++index) {
        const std::string expected = expected_token(prompt, static_cast<std::uint64_t>(index));
        // An entry host may strip the trailing space of the last token.
        const bool last_without_blank = text.size() + 1 == expected.size() && index + 1 == tokens.value();
        if (last_without_blank && expected.compare(0, text.size(), text) == 0) {
            return text_check::complete;
        }
        if (text.empty()) {
            return text_check::truncated;
        }
        if (text.substr(0, expected.size()) != expected) {
            const bool partial = text.size() < expected.size() && expected.compare(0, text.size(), text) == 0;
            return partial ? text_check::truncated : text_check::mismatched;
        }
        text.remove_prefix(expected.size());
    }
    return text.empty() ? text_check::complete : text_check::mismatched;
}

std::vector<std::string> event_splitter::add(std::string_view chunk) {
    constexpr std::string_view prefix = "data:";
    m_incomplete_line.append(chunk);
    std::vector<std::string> payloads;
    std::size_t start = 0;
    for (std::size_t end = m_incomplete_line.find('\n'); end != std::string::npos;
         end = m_incomplete_line.find('\n', start)) {
        std::string line = m_incomplete_line.substr(start, end - start);
        start = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.compare(0, prefix.size(), prefix) == 0) {
            const std::size_t content = line.find_first_not_of(' ', prefix.size());
            payloads.push_back(content == std::string::npos ? "" : line.substr(content));
        }
    }
    m_incomplete_line.erase(0, start);
    return payloads;
}

answer_reader::answer_reader(const arrival& sent, std::string prompt)
    : m_sent(sent), m_prompt(std::move(prompt)) {
}

void answer_reader::on_head(int status, std::string request, bool streamed) {
    m_record.status = status;
    m_record.id = request_id(std::move(request));
    m_streamed = streamed;
}

void answer_reader::on_body(std::string_view bytes, duration since_intended) {
    if (!m_streamed) {
        m_body.append(bytes);
        return;
    }
    for (const std::string& payload : m_events.add(bytes)) {
        on_event(payload, since_intended);
    }
}

void answer_reader::on_event(const std::string& payload, duration since_intended) {
    if (payload == "[DONE]") {
        m_stream_done = true;
        return;
    }
    const json event = json::parse(payload, nullptr, false);
    if (!event.is_object()) {
        return;
    }
    if (event.contains("error")) {
        read_refusal(payload);
        return;
    }
    const std::string text = text_of(event);
    if (text.empty()) {
        return;
    }
    if (m_tokens++ == 0) {
        m_record.first = since_intended;
    }
    m_last = since_intended;
    m_text += text;
}

void answer_reader::read_refusal(const std::string& body) {
    m_record.end = call_outcome::refused;
    const json parsed = json::parse(body, nullptr, false);
    const json error = parsed.is_object() ? parsed.value("error", json::object()) : json::object();
    if (!error.is_object()) {
        m_record.reason = "malformed_refusal";
        return;
    }
    m_record.reason = error.value("reason", std::string("status_") + std::to_string(m_record.status));
    m_record.reported_run_state = parse_run_state(error.value("run_state", std::string()));
    if (m_record.id.empty()) {
        m_record.id = request_id(error.value("request_id", std::string()));
    }
}

void answer_reader::finish_generation(bool complete) {
    if (!m_streamed) {
        const json parsed = json::parse(m_body, nullptr, false);
        m_text = parsed.is_object() ? text_of(parsed) : std::string();
    }
    m_record.text = check_text(m_text, m_prompt, m_sent.output_tokens);
    if (m_record.end == call_outcome::refused) {
        // An error event already reports the truncation, so only mismatched text is a violation.
        m_record.text = m_record.text == text_check::truncated ? text_check::not_checked : m_record.text;
        return;
    }
    const bool ended = complete && (!m_streamed || m_stream_done);
    m_record.end = ended ? call_outcome::answered : call_outcome::broken;
    if (!ended && m_record.text == text_check::truncated) {
        m_record.text = text_check::not_checked;
    }
}

call_record answer_reader::finish(bool complete, duration since_intended) {
    m_record.total = since_intended;
    const json parsed = m_streamed ? json() : json::parse(m_body, nullptr, false);
    if (m_record.status == 0 || (!complete && !m_streamed)) {
        m_record.end = call_outcome::broken;
    } else if (!m_streamed && !is_service_answer(m_record.status, parsed)) {
        read_refusal(m_body);
    } else if (m_sent.kind == load_kind::generation) {
        finish_generation(complete);
    } else {
        m_record.end = call_outcome::answered;
        m_record.result = m_body;
    }
    if (!m_streamed) {
        m_record.first = since_intended;
    }
    if (m_tokens > 1) {
        m_record.between_tokens = (m_last - m_record.first) / static_cast<std::int64_t>(m_tokens - 1);
    }
    return m_record;
}

http_request request_of(const arrival& sent, const fleet_spec& spec) {
    http_request request;
    request.headers = {{"Authorization", "Bearer " + account_key(sent.rank)},
                       {"X-Rank", std::string(to_string(sent.rank))}};
    const std::string service = "/v1/services/" + spec.service.str() + "/";
    switch (sent.kind) {
    case load_kind::generation:
        request.path = "/v1/completions";
        request.body = json{{"model", spec.model.str()},
                            {"prompt", prompt_of(sent)},
                            {"max_tokens", sent.output_tokens.value()},
                            {"stream", sent.streamed}}
                           .dump();
        break;
    case load_kind::lookup:
        request.path = service + "lookup";
        request.body = json{{"item", "item-" + std::to_string(sent.number)}}.dump();
        break;
    case load_kind::hold:
        request.path = service + "hold";
        request.headers.emplace_back("Idempotency-Key", sent.key.str());
        request.body = json{{"slot", sent.slot}, {"party", sent.party}}.dump();
        break;
    }
    return request;
}

bool within_target(const call_record& record, const arrival& sent, const rank_policy& policy) {
    if (record.end != call_outcome::answered) {
        return false;
    }
    if (sent.kind != load_kind::generation) {
        return record.total <= policy.target;
    }
    if (record.text != text_check::complete) {
        return false;
    }
    if (sent.streamed) {
        return record.first <= policy.target && record.between_tokens <= policy.between_tokens;
    }
    return record.total <= policy.target + policy.between_tokens * sent.output_tokens.value();
}

} // namespace parsleypitch::bench
