#include <parsleypitch/core/types.hpp>

namespace parsleypitch {

std::string_view to_string(rank r) noexcept {
    switch (r) {
    case rank::urgent:
        return "urgent";
    case rank::normal:
        return "normal";
    case rank::bulk:
        return "bulk";
    }
    return "invalid";
}

std::string_view to_string(run_state s) noexcept {
    switch (s) {
    case run_state::not_run:
        return "not run";
    case run_state::ran:
        return "ran";
    case run_state::outcome_unknown:
        return "outcome unknown";
    }
    return "invalid";
}

std::string_view to_string(engine_role r) noexcept {
    switch (r) {
    case engine_role::mixed:
        return "mixed";
    case engine_role::prefill:
        return "prefill";
    case engine_role::decode:
        return "decode";
    }
    return "invalid";
}

std::optional<rank> parse_rank(std::string_view text) noexcept {
    for (const rank r : all_ranks) {
        if (text == to_string(r)) {
            return r;
        }
    }
    return std::nullopt;
}

std::optional<engine_role> parse_engine_role(std::string_view text) noexcept {
    for (const engine_role r : {engine_role::mixed, engine_role::prefill, engine_role::decode}) {
        if (text == to_string(r)) {
            return r;
        }
    }
    return std::nullopt;
}

} // namespace parsleypitch
