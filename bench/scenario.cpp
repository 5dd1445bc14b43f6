#include "scenario.hpp"

#include "settings/toml_reader.hpp"

#include <algorithm>
#include <cmath>

namespace parsleypitch::bench {

namespace {

using parsleypitch::detail::toml_mistake;
using parsleypitch::detail::toml_reader;

constexpr double max_run_seconds = 600;
constexpr double max_rate = 5000;
constexpr std::int64_t max_processes = 64;
constexpr std::int64_t max_clients = 2048;
constexpr std::int64_t max_tokens = 200'000;
constexpr std::int64_t max_delay_ms = 1000;
constexpr std::int64_t max_copies = 16;
constexpr std::int64_t max_lost_answers = 10'000;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_target_ms = 3'600'000;
constexpr double max_worth = 1'000'000;

constexpr std::array<std::string_view, 3> load_kind_names = {"generation", "lookup", "hold"};
constexpr std::array<std::string_view, 9> fault_kind_names = {
    "kill",      "pause",         "resume",        "crash",       "drain",
    "partition", "platform_down", "platform_slow", "lose_answers"};

template <class Kind, std::size_t Count>
Kind read_kind(toml_reader& reader, const std::array<std::string_view, Count>& names) {
    const std::string text = reader.text("kind");
    const auto found = std::find(names.begin(), names.end(), text);
    if (found != names.end()) {
        return static_cast<Kind>(found - names.begin());
    }
    std::string expected = "expected one of";
    for (const std::string_view name : names) {
        expected += " " + std::string(name);
    }
    reader.report("kind", errc::out_of_range, expected + ", got " + text);
    return Kind{};
}

std::size_t read_count(toml_reader& reader, std::string_view key, std::int64_t low) {
    return static_cast<std::size_t>(reader.integer(key, low, max_processes));
}

token_distribution read_distribution(toml_reader reader) {
    token_distribution read;
    read.min = token_count(reader.integer("min", 1, max_tokens));
    read.max = token_count(reader.integer("max", 1, max_tokens));
    read.mean = token_count(reader.integer_or("mean", 0, 0, max_tokens));
    if (read.max < read.min) {
        reader.report("max", errc::out_of_range, "expected at least min");
    }
    reader.finish();
    return read;
}

rank_policy default_policy(rank r) {
    rank_policy policy;
    policy.worth = r == rank::urgent ? 10 : r == rank::normal ? 3 : 1;
    policy.target = milliseconds(r == rank::urgent ? 1200 : r == rank::normal ? 3000 : 10'000);
    policy.between_tokens = milliseconds(r == rank::urgent ? 42 : r == rank::normal ? 80 : 200);
    policy.deadline = policy.target * 3;
    policy.floor = r == rank::urgent ? 0 : r == rank::normal ? 0.2 : 0.05;
    return policy;
}

void read_ranks(toml_reader& root, fleet_spec& fleet) {
    toml_reader reader = root.table("ranks", false);
    for (const rank r : all_ranks) {
        toml_reader each = reader.table(to_string(r), false);
        rank_policy policy = default_policy(r);
        policy.worth = each.number_or("worth", policy.worth, 0, max_worth);
        policy.target = milliseconds(each.integer_or("target_ms", policy.target.count(), 1, max_target_ms));
        policy.between_tokens = milliseconds(
            each.integer_or("between_tokens_ms", policy.between_tokens.count(), 1, max_target_ms));
        policy.deadline =
            milliseconds(each.integer_or("deadline_ms", policy.deadline.count(), 1, max_target_ms));
        policy.floor = each.number_or("floor", policy.floor, 0, 1);
        each.finish();
        fleet.ranks[index_of(r)] = policy;
    }
    reader.finish();
}

fleet_spec read_fleet(toml_reader& root) {
    toml_reader reader = root.table("fleet");
    fleet_spec fleet;
    for (std::string& zone : reader.texts("zones")) {
        fleet.zones.emplace_back(std::move(zone));
    }
    if (fleet.zones.empty()) {
        reader.report("zones", errc::missing_key, "expected at least one zone");
    }
    fleet.delay = milliseconds(reader.integer_or("delay_ms", 0, 0, max_delay_ms));
    fleet.engines = read_count(reader, "engines", 0);
    fleet.services = read_count(reader, "services", 0);
    fleet.entry_hosts = read_count(reader, "entry_hosts", 1);
    fleet.model = model_id(reader.text_or("model", fleet.model.str()));
    fleet.service = plain_service_id(reader.text_or("service", fleet.service.str()));
    fleet.engine_options = reader.texts("engine_options");
    fleet.service_options = reader.texts("service_options");
    fleet.platform_options = reader.texts("platform_options");
    fleet.slots = request_count(reader.integer_or("slots", fleet.slots.value(), 1, max_slots));
    fleet.clients = static_cast<std::size_t>(
        reader.integer_or("clients", static_cast<std::int64_t>(fleet.clients), 1, max_clients));
    fleet.checks_fencing = reader.flag_or("checks_fencing", fleet.checks_fencing);
    reader.finish();
    read_ranks(root, fleet);
    return fleet;
}

void read_rates(toml_reader& reader, phase_spec& phase) {
    toml_reader rates = reader.table("requests_per_second");
    for (const rank r : all_ranks) {
        phase.rates[index_of(r)] = rates.number_or(to_string(r), 0, 0, max_rate);
    }
    rates.finish();
}

phase_spec read_phase(toml_reader& reader, duration default_start) {
    phase_spec phase;
    phase.start = from_seconds(reader.number_or("at", to_seconds(default_start), 0, max_run_seconds));
    phase.length = from_seconds(reader.number_or("seconds", 0, 0, max_run_seconds));
    if (phase.length <= duration::zero()) {
        reader.report("seconds", errc::out_of_range, "expected a length greater than 0");
    }
    phase.kind = read_kind<load_kind>(reader, load_kind_names);
    read_rates(reader, phase);
    if (phase.kind == load_kind::generation) {
        phase.prompt = read_distribution(reader.table("prompt_tokens"));
        phase.output = read_distribution(reader.table("output_tokens"));
        phase.streamed = reader.number_or("streamed", phase.streamed, 0, 1);
    }
    if (phase.kind == load_kind::hold) {
        phase.rivals = static_cast<std::size_t>(reader.integer_or("rivals", 1, 1, max_copies));
        phase.repeats = static_cast<std::size_t>(reader.integer_or("repeats", 1, 1, max_copies));
        phase.gap = milliseconds(reader.integer_or("gap_ms", phase.gap.count(), 0, max_delay_ms));
    }
    reader.finish();
    return phase;
}

fault_spec read_fault(toml_reader& reader) {
    fault_spec fault;
    fault.at = from_seconds(reader.number_or("at", 0, 0, max_run_seconds));
    fault.kind = read_kind<fault_kind>(reader, fault_kind_names);
    const bool on_platform = fault.kind == fault_kind::platform_down ||
                             fault.kind == fault_kind::platform_slow ||
                             fault.kind == fault_kind::lose_answers;
    fault.target = on_platform ? reader.text_or("target", "platform") : reader.text("target");
    fault.length = from_seconds(reader.number_or("seconds", 0, 0, max_run_seconds));
    fault.count = reader.integer_or("count", 1, 1, max_lost_answers);
    reader.finish();
    return fault;
}

scenario read_all(toml_reader& root) {
    scenario read;
    read.name = root.text("name");
    read.fleet = read_fleet(root);
    duration next_start{};
    for (toml_reader& reader : root.tables("phase")) {
        read.phases.push_back(read_phase(reader, next_start));
        next_start = read.phases.back().start + read.phases.back().length;
    }
    if (read.phases.empty()) {
        root.report("phase", errc::missing_key, "expected at least one [[phase]]");
    }
    for (toml_reader& reader : root.tables("fault")) {
        read.faults.push_back(read_fault(reader));
    }
    root.finish();
    return read;
}

} // namespace

duration scenario::length() const {
    duration end{};
    for (const phase_spec& phase : phases) {
        end = std::max(end, phase.start + phase.length);
    }
    return end;
}

std::string_view to_string(load_kind kind) noexcept {
    return load_kind_names[static_cast<std::size_t>(kind)];
}

std::string_view to_string(fault_kind kind) noexcept {
    return fault_kind_names[static_cast<std::size_t>(kind)];
}

result<scenario> parse_scenario(std::string_view text, std::string_view place) {
    BOOST_OUTCOME_TRY(table, parsleypitch::detail::parse_toml(text, place));
    std::vector<toml_mistake> mistakes;
    toml_reader root(table, "", mistakes);
    scenario read = read_all(root);
    if (!mistakes.empty()) {
        return error{mistakes.front().what.code, parsleypitch::detail::format_mistakes(place, mistakes)};
    }
    return read;
}

scenario scaled(scenario original, double scale) {
    const auto scale_count = [scale](std::size_t count) {
        const auto rounded = static_cast<std::size_t>(std::lround(static_cast<double>(count) * scale));
        return count == 0 ? 0 : std::max<std::size_t>(1, rounded);
    };
    original.fleet.engines = scale_count(original.fleet.engines);
    original.fleet.services = scale_count(original.fleet.services);
    for (phase_spec& phase : original.phases) {
        for (double& rate : phase.rates) {
            rate *= scale;
        }
    }
    return original;
}

} // namespace parsleypitch::bench
