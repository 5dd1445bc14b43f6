#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/environment/environment.hpp>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::bench {

/// @brief Range of token counts; uniform, or exponential with `mean` and clamped to the range if `mean` is
/// set.
struct token_distribution {
    token_count min{1};
    token_count max{1};
    token_count mean{0};
};

enum class load_kind { generation, lookup, hold };

/// @brief Processes of one fleet on loopback.
struct fleet_spec {
    std::vector<availability_zone_id> zones;
    /// @brief One-way delay that the relays add between zones; 0 means no relays.
    milliseconds delay{0};
    std::size_t engines = 1;
    std::size_t services = 1;
    std::size_t entry_hosts = 1;
    model_id model{"drafting"};
    plain_service_id service{"booking"};
    /// @brief Command-line options of the engine, service and platform stand-ins.
    std::vector<std::string> engine_options;
    std::vector<std::string> service_options;
    std::vector<std::string> platform_options;
    /// @brief Maximum number of concurrent requests that an agent admits to its backend server.
    request_count slots{16};
    /// @brief Number of client threads; each open request occupies one.
    std::size_t clients = 1536;
    bool checks_fencing = true;
    std::array<rank_policy, rank_count> ranks;
};

/// @brief Load of one kind over a period.
struct phase_spec {
    duration start{};
    duration length{};
    load_kind kind = load_kind::generation;
    /// @brief Requests per second by rank.
    std::array<double, rank_count> rates{};
    token_distribution prompt;
    token_distribution output;
    /// @brief Share of generations that are streamed.
    double streamed = 0.5;
    /// @brief Holds only: number of parties that request the same slot, each with its own key.
    std::size_t rivals = 1;
    /// @brief Holds only: number of times that each call is sent with the same key and body.
    std::size_t repeats = 1;
    /// @brief Time between rivals and between repeats.
    milliseconds gap{10};
};

enum class fault_kind {
    kill,
    pause,
    resume,
    crash,
    drain,
    partition,
    platform_down,
    platform_slow,
    lose_answers
};

struct fault_spec {
    duration at{};
    fault_kind kind = fault_kind::kill;
    /// @brief Name of a process, or of a zone for a partition; empty for platform faults.
    std::string target;
    /// @brief Time after which the fault is undone; 0 means never.
    duration length{};
    /// @brief Number of answers to drop for `lose_answers`.
    std::int64_t count = 1;
};

struct scenario {
    std::string name;
    fleet_spec fleet;
    std::vector<phase_spec> phases;
    std::vector<fault_spec> faults;

    /// @brief Time from the start of the load to the end of the last phase.
    [[nodiscard]] duration length() const;
};

[[nodiscard]] std::string_view to_string(load_kind kind) noexcept;
[[nodiscard]] std::string_view to_string(fault_kind kind) noexcept;

/// @brief Parses a scenario or fleet file.
/// @param text TOML text
/// @param place name of the file for error messages
/// @return `malformed_document`, `unknown_key`, `missing_key`, `wrong_type` or `out_of_range`, with all
/// errors of the file
[[nodiscard]] result<scenario> parse_scenario(std::string_view text, std::string_view place);

/// @brief Multiplies the numbers of engines and services and the rates, with at least one of each process.
/// @param scale factor greater than 0
[[nodiscard]] scenario scaled(scenario original, double scale);

} // namespace parsleypitch::bench
