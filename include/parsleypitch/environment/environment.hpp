#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief Priority and latency targets of one rank of work.
struct rank_policy {
    /// @brief Value of one request that is served within its target, relative to the other ranks.
    double worth = 1;
    /// @brief Target latency of the first token, or of the whole answer of a plain service.
    milliseconds target{1200};
    /// @brief Target time between two consecutive tokens.
    milliseconds between_tokens{42};
    /// @brief Maximum time until a request starts; a request that can't start within it is refused.
    milliseconds deadline{30'000};
    /// @brief Fraction of the time of each backend server that is reserved for the rank under any load, 0
    /// to 1.
    double floor = 0;

    friend bool operator==(const rank_policy&, const rank_policy&) = default;
};

struct availability_zone_spec {
    availability_zone_id id;
    std::string region;

    friend bool operator==(const availability_zone_spec&, const availability_zone_spec&) = default;
};

struct model_spec {
    model_id id;
    model_version version;
    /// @brief Adapters that engines load with the model.
    std::vector<adapter_id> adapters;

    friend bool operator==(const model_spec&, const model_spec&) = default;
};

/// @brief An operation of a plain service.
struct operation_spec {
    operation_id id;
    /// @brief Whether a call may be run more than once. If not, the call needs an `Idempotency-Key` and runs
    /// at most once.
    bool repeatable = true;

    friend bool operator==(const operation_spec&, const operation_spec&) = default;
};

struct plain_service_spec {
    plain_service_id id;
    std::vector<operation_spec> operations;

    friend bool operator==(const plain_service_spec&, const plain_service_spec&) = default;
};

/// @brief A backend server, which is either an engine with a model or an instance of a plain service.
struct backend_server_spec {
    backend_server_id id;
    availability_zone_id zone;
    /// @brief Model that the engine serves; empty for a plain service.
    model_id model;
    /// @brief Plain service that the server runs; empty for an engine.
    plain_service_id plain_service;
    /// @brief Whether the engine itself refuses orders with an outdated fencing number.
    bool checks_fencing = false;

    friend bool operator==(const backend_server_spec&, const backend_server_spec&) = default;
};

/// @brief Account of a caller.
struct account_spec {
    caller_id id;
    /// @brief SHA-256 of the account key as 64 lower-case hexadecimal digits. The key itself is not stored.
    std::string key_sha256;
    /// @brief Highest rank that requests of the account may have.
    rank highest_rank = rank::bulk;
    /// @brief Share of the account in the capacity of its rank, relative to the other accounts.
    double weight = 1;

    friend bool operator==(const account_spec&, const account_spec&) = default;
};

/// @brief Configuration of one environment, as parsed from its document.
struct environment {
    environment_name name;
    /// @brief Indexed by `index_of(rank)`.
    std::array<rank_policy, rank_count> ranks;
    std::vector<availability_zone_spec> zones;
    std::vector<model_spec> models;
    std::vector<plain_service_spec> plain_services;
    std::vector<backend_server_spec> backend_servers;
    std::vector<account_spec> accounts;

    friend bool operator==(const environment&, const environment&) = default;
};

/// @brief One mistake in a document; line and column count from 1.
struct document_mistake {
    std::size_t line = 0;
    std::size_t column = 0;
    error what;
};

/// @brief Result of parsing a document: the environment and every mistake in the document. The environment is
/// incomplete if there are mistakes.
struct parsed_environment {
    environment value;
    std::vector<document_mistake> mistakes;
};

/// @brief Parses and validates an environment document in TOML.
/// @return the environment and all mistakes, sorted by position; no mistakes if the document is valid
[[nodiscard]] parsed_environment parse_environment(std::string_view text);

} // namespace parsleypitch
