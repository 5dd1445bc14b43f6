#include <parsleypitch/agent/cost_model.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr double prefill_tokens_per_second = 8000;
// Estimate for an operation that has not been called yet.
constexpr double default_call_seconds = 0.02;
// Weight of the newest sample in the moving averages.
constexpr double smoothing_factor = 0.1;
constexpr milliseconds long_request_threshold{500};

std::int64_t tokens_left(const generate_work& work) {
    const std::int64_t tokens = work.max_tokens.value() - static_cast<std::int64_t>(work.resume_from.value());
    return work.prefill_only ? 1 : std::max<std::int64_t>(1, tokens);
}

} // namespace

duration cost_model::estimate(const execute_request& request) const {
    const std::lock_guard lock(m_mutex);
    if (const auto* generate = std::get_if<generate_work>(&request.work)) {
        const double prefill =
            static_cast<double>(generate->prompt_tokens.value()) / prefill_tokens_per_second;
        return from_seconds(prefill + static_cast<double>(tokens_left(*generate)) * m_seconds_per_token);
    }
    const auto known = m_seconds_per_call.find(std::get<call_work>(request.work).operation);
    return from_seconds(known == m_seconds_per_call.end() ? default_call_seconds : known->second);
}

bool cost_model::is_long(const execute_request& request) const {
    return estimate(request) >= long_request_threshold;
}

void cost_model::add_sample(const execute_request& request, duration occupied, token_count tokens) {
    const std::lock_guard lock(m_mutex);
    if (std::holds_alternative<generate_work>(request.work)) {
        if (tokens.value() > 0) {
            const double sample = to_seconds(occupied) / static_cast<double>(tokens.value());
            m_seconds_per_token += smoothing_factor * (sample - m_seconds_per_token);
        }
        return;
    }
    const operation_id& operation = std::get<call_work>(request.work).operation;
    const auto [known, inserted] = m_seconds_per_call.try_emplace(operation, to_seconds(occupied));
    if (!inserted) {
        known->second += smoothing_factor * (to_seconds(occupied) - known->second);
    }
}

} // namespace parsleypitch
