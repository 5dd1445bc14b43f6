#pragma once

#include "slopes_report.hpp"

namespace parsleypitch::bench {

/// @brief Costs of an entry host by its number of agents, of peers in its zone and of other zones.
///
/// Series `entry.agents.*`, `entry.peers.*` and `entry.zones.*`. The simulated processes run in the bench.
[[nodiscard]] result<void> measure_entry_agents(const slopes_options& options, slopes_report& report);
[[nodiscard]] result<void> measure_entry_peers(const slopes_options& options, slopes_report& report);
[[nodiscard]] result<void> measure_entry_zones(const slopes_options& options, slopes_report& report);
/// @brief Costs of an agent by its number of entry hosts; series `agent.entries.*`.
[[nodiscard]] result<void> measure_agent(const slopes_options& options, slopes_report& report);
/// @brief Memory, transfer and adoption time by number of accounts and of entry hosts; series `config.*`.
[[nodiscard]] result<void> measure_config_accounts(const slopes_options& options, slopes_report& report);
[[nodiscard]] result<void> measure_config_hosts(const slopes_options& options, slopes_report& report);
/// @brief Object writes and memory by calls that may not be repeated; series `claims.*`.
[[nodiscard]] result<void> measure_claims(const slopes_options& options, slopes_report& report);
/// @brief Memory and processor time by number of live streams; series `streams.*`.
[[nodiscard]] result<void> measure_streams(const slopes_options& options, slopes_report& report);
/// @brief Latency of lookups sent directly and through entry host and agent.
[[nodiscard]] result<latency_report> measure_latency(const slopes_options& options);

} // namespace parsleypitch::bench
