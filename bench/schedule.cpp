#include "schedule.hpp"

#include <parsleypitch/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

namespace parsleypitch::bench {

namespace {

/// Samples by inversion, because standard library distributions differ between implementations.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) : m_engine(seed) {}

    /// Uniform in [0, 1).
    double uniform() {
        constexpr unsigned mantissa_bits = 53;
        return std::ldexp(static_cast<double>(m_engine() >> (64U - mantissa_bits)),
                          -static_cast<int>(mantissa_bits));
    }
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }

    token_count tokens(const token_distribution& from) {
        const auto low = static_cast<double>(from.min.value());
        const auto high = static_cast<double>(from.max.value());
        const double drawn = from.mean.value() > 0 ? exponential(static_cast<double>(from.mean.value()))
                                                   : low + uniform() * (high - low + 1);
        return token_count(static_cast<std::int64_t>(std::clamp(drawn, low, high)));
    }

  private:
    std::mt19937_64 m_engine;
};

/// Appends a hold with its rivals and repeats.
void append_holds(std::vector<arrival>& drawn, const phase_spec& phase, const arrival& first,
                  std::uint64_t seed) {
    const std::string run = std::to_string(seed) + "-" + std::to_string(first.phase) + "-" +
                            std::to_string(index_of(first.rank)) + "-" + std::to_string(first.number);
    for (std::size_t rival = 0; rival < phase.rivals; ++rival) {
        for (std::size_t repeat = 0; repeat < phase.repeats; ++repeat) {
            arrival hold = first;
            hold.at += phase.gap * static_cast<std::int64_t>(rival + repeat);
            hold.slot = "slot-" + run;
            hold.party = "party-" + std::to_string(rival);
            hold.key = idempotency_key("key-" + run + "-" + std::to_string(rival));
            drawn.push_back(std::move(hold));
        }
    }
}

void append_rank(std::vector<arrival>& drawn, const scenario& from, std::size_t phase_index, rank r,
                 std::uint64_t seed) {
    const phase_spec& phase = from.phases[phase_index];
    const double rate = phase.rates[index_of(r)];
    if (rate <= 0) {
        return;
    }
    const std::string stream = std::to_string(phase_index) + "/" + std::string(to_string(r));
    random_source random(hash_bytes(stream, seed));
    std::uint64_t number = 0;
    double at = random.exponential(1 / rate);
    while (at < to_seconds(phase.length)) {
        arrival next;
        next.at = phase.start + from_seconds(at);
        at += random.exponential(1 / rate);
        next.phase = phase_index;
        next.kind = phase.kind;
        next.rank = r;
        next.number = number++;
        if (phase.kind == load_kind::generation) {
            next.prompt_tokens = random.tokens(phase.prompt);
            next.output_tokens = random.tokens(phase.output);
            next.streamed = random.uniform() < phase.streamed;
        }
        if (phase.kind == load_kind::hold) {
            append_holds(drawn, phase, next, seed);
        } else {
            drawn.push_back(std::move(next));
        }
    }
}

} // namespace

std::vector<arrival> draw_schedule(const scenario& drawn, std::uint64_t seed) {
    std::vector<arrival> arrivals;
    for (std::size_t phase = 0; phase < drawn.phases.size(); ++phase) {
        for (const rank r : all_ranks) {
            append_rank(arrivals, drawn, phase, r, seed);
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const arrival& a, const arrival& b) { return a.at < b.at; });
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        arrivals[i].number = i;
    }
    return arrivals;
}

std::string prompt_of(const arrival& sent) {
    // Four-byte words give the same count under both token estimates: by words and by four bytes per token.
    constexpr std::uint64_t words = 1000;
    std::string prompt;
    prompt.reserve(static_cast<std::size_t>(sent.prompt_tokens.value()) * 4);
    std::uint64_t remaining = sent.number;
    for (std::int64_t i = 0; i < sent.prompt_tokens.value(); ++i) {
        std::array<char, 8> word{};
        std::snprintf(word.data(), word.size(), "%03u ", static_cast<unsigned>(remaining % words));
        prompt += word.data();
        remaining = remaining / words + static_cast<std::uint64_t>(i);
    }
    return prompt;
}

std::string expected_token(std::string_view prompt, std::uint64_t index) {
    std::array<char, 16> text{};
    constexpr unsigned low_half = 32;
    std::snprintf(text.data(), text.size(), "t%08x ",
                  static_cast<unsigned>(hash_bytes(prompt, index) >> low_half));
    return text.data();
}

} // namespace parsleypitch::bench
