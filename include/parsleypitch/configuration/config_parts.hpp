#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/environment/environment.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief SHA-256 of a document or of a part, as 64 hexadecimal digits.
using content_hash = string_id<struct content_hash_tag>;
/// @brief Name of a part by what it describes, for example `model/m1` or `accounts/17`.
using part_name = string_id<struct part_name_tag>;

/// @brief Number of parts over which accounts are distributed by the hash of their id. An added account
/// changes only its own shard.
inline constexpr std::size_t account_shard_count = 256;

/// @brief A separately transferred piece of a configuration, identified by the hash of its content.
struct config_part {
    part_name name;
    content_hash hash;
    std::shared_ptr<const std::string> content;
};

/// @brief Name and hash of a part, without its content.
struct part_reference {
    part_name name;
    content_hash hash;

    friend bool operator==(const part_reference&, const part_reference&) = default;
};

/// @brief Lists all parts of one accepted version.
struct config_manifest {
    config_version version;
    /// @brief Hash of the document as it was accepted.
    content_hash document;
    std::vector<part_reference> parts;
};

/// @brief A manifest with the parts that the receiver does not have.
struct config_bundle {
    config_manifest manifest;
    std::vector<config_part> parts;
};

/// @brief One version in parsed form. It is immutable and shared with traffic threads once it is in force.
struct adopted_config {
    config_manifest manifest;
    environment value;
    /// @brief All parts in the order of the manifest; sent to peers that fetch them.
    std::vector<config_part> parts;
};

/// @brief Computes the SHA-256 of bytes.
[[nodiscard]] content_hash hash_of(std::string_view bytes);

/// @brief Sorts all lists by id, and backend servers by zone and then id. Parts are in this order whatever
/// the order of the document, so that equal environments have equal hashes.
[[nodiscard]] environment in_canonical_order(environment value);

/// @brief Splits an environment into parts, sorted by name.
[[nodiscard]] std::vector<config_part> split_environment(const environment& value);

/// @brief Joins parts into an environment in canonical order.
/// @return the environment; `malformed_document` if a part can't be decoded; `config_hash_mismatch` if the
/// content of a part is missing or does not match its hash
[[nodiscard]] result<environment> join_parts(const std::vector<config_part>& parts);

/// @brief Parses a document and fails if it has any mistake.
/// @return the environment, or `config_not_accepted` with the number of mistakes and the first one
[[nodiscard]] result<environment> parse_accepted(std::string_view bytes);

/// @brief Parses the document of an accepted version and splits it into parts.
/// @return the version in parsed form, or `config_not_accepted` if the bytes are not a valid document
[[nodiscard]] result<adopted_config> adopt_document(config_version version, std::string_view bytes);

/// @brief Returns the hashes of those parts of a manifest that are not in `held`.
/// @param held the local version, or null if there is none
[[nodiscard]] std::vector<content_hash> missing_parts(const config_manifest& manifest,
                                                      const adopted_config* held);

/// @brief Returns the manifest of `held` with those of its parts whose hashes are in `wanted`; unknown hashes
/// are left out.
[[nodiscard]] config_bundle bundle_of(const adopted_config& held, const std::vector<content_hash>& wanted);

/// @brief Builds a version from the parts of a bundle, and from those of the local version for the rest.
/// @param held the local version, or null if there is none
/// @return the version; `config_unavailable` if a part is missing; otherwise the errors of `join_parts`
[[nodiscard]] result<adopted_config> assemble(const config_bundle& bundle, const adopted_config* held);

} // namespace parsleypitch
