#pragma once

#include "call.hpp"

#include <parsleypitch/core/result.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief One run of a plain service's operation, as the stand-in recorded it.
struct recorded_run {
    request_id id;
    idempotency_key key;
    operation_id operation;
};

/// @brief Executions recorded by the stand-ins of a fleet.
struct execution_records {
    std::vector<recorded_run> runs;
    /// @brief Generations of which an engine emitted at least one token.
    std::set<request_id> generated;
    std::uint64_t role_changes = 0;
    /// @brief Backend servers whose record is lost or incomplete because they ended.
    std::vector<std::string> missing;
};

/// @brief Violations found by comparing the callers' records with the execution records.
struct consistency_check {
    std::uint64_t duplicate_runs = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t truncated = 0;
    std::uint64_t foreign = 0;
    /// @brief Slots that were confirmed to two parties.
    std::uint64_t rivals_confirmed = 0;
    /// @brief Answered holds of which no service recorded a run; not counted if a record is missing.
    std::uint64_t unrecorded_holds = 0;
    /// @brief One line for each of the first violations.
    std::vector<std::string> examples;

    [[nodiscard]] bool passed() const noexcept {
        return duplicate_runs + false_not_run + truncated + foreign + rivals_confirmed + unrecorded_holds ==
               0;
    }
};

/// @brief Adds the `/admin/truth` response of an engine.
void add_engine_truth(execution_records& to, const nlohmann::json& from);
/// @brief Adds the `/admin/truth` response of a plain service.
void add_service_truth(execution_records& to, const nlohmann::json& from);

/// @brief Compares the callers' records with the recorded executions.
/// @param arrivals the schedule
/// @param records one record for each arrival that was sent
[[nodiscard]] consistency_check compare_with_truth(const std::vector<arrival>& arrivals,
                                                   const std::vector<call_record>& records,
                                                   const execution_records& truth);

} // namespace parsleypitch::bench
