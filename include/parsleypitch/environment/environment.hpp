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

/// @brief What one rank of work is worth and what it is promised.
struct rank_policy {
    /// @brief Worth of one request served within its target, relative to the other ranks.
    double worth = 1;
    /// @brief Target for the first token, or for the whole answer of a plain service.
    milliseconds target{1200};
    /// @brief Target for the time between two tokens.
    milliseconds between_tokens{42};
    /// @brief A request that can't start before this time has passed is refused.
    milliseconds deadline{30'000};
    /// @brief Share of each backend server's time that the rank keeps under any load, 0 to 1.
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
    std::vector<adapter_id> adapters;

    friend bool operator==(const model_spec&, const model_spec&) = default;
};

/// @brief An operation of a plain service.
struct operation_spec {
    operation_id id;
    /// @brief A call that may not be repeated needs an `Idempotency-Key` and runs at most once.
    bool repeatable = true;

    friend bool operator==(const operation_spec&, const operation_spec&) = default;
};

struct plain_service_spec {
    plain_service_id id;
    std::vector<operation_spec> operations;

    friend bool operator==(const plain_service_spec&, const plain_service_spec&) = default;
};

struct backend_server_spec {
    backend_server_id id;
    availability_zone_id zone;
    /// @brief Set for an engine, empty for a plain service.
    model_id model;
    /// @brief Set for a plain service, empty for an engine.
    plain_service_id plain_service;
    /// @brief The engine refuses orders with an old fencing number by itself.
    bool checks_fencing = false;

    friend bool operator==(const backend_server_spec&, const backend_server_spec&) = default;
};

struct account_spec {
    caller_id id;
    /// @brief SHA-256 of the account key as hexadecimal digits; the key itself is not kept.
    std::string key_sha256;
    rank highest_rank = rank::bulk;
    /// @brief Share among the accounts of one rank, relative to the others.
    double weight = 1;

    friend bool operator==(const account_spec&, const account_spec&) = default;
};

/// @brief The parsed document of one environment.
struct environment {
    environment_name name;
    std::array<rank_policy, rank_count> ranks;
    std::vector<availability_zone_spec> zones;
    std::vector<model_spec> models;
    std::vector<plain_service_spec> plain_services;
    std::vector<backend_server_spec> backend_servers;
    std::vector<account_spec> accounts;

    friend bool operator==(const environment&, const environment&) = default;
};

/// @brief Outcome of parsing a document: all mistakes at once.
struct document_mistake {
    std::size_t line = 0;
    std::size_t column = 0;
    error what;
};

/// @brief A document that parsed, or every mistake found in it.
struct parsed_environment {
    environment value;
    std::vector<document_mistake> mistakes;
};

/// @brief Parses and checks an environment document in TOML.
/// @param text the document
/// @return the environment, with an empty list of mistakes if the document is valid
[[nodiscard]] parsed_environment parse_environment(std::string_view text);

} // namespace parsleypitch
