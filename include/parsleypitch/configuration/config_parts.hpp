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
/// @brief What a part describes, for example `model/m1` or `accounts/17`.
using part_name = string_id<struct part_name_tag>;

/// @brief Accounts are spread over this many shards by hash, so that an added account moves no other.
inline constexpr std::size_t account_shard_count = 256;

/// @brief A named piece of a configuration; its hash names its content.
struct config_part {
    part_name name;
    content_hash hash;
    std::shared_ptr<const std::string> content;
};

/// @brief A part without its content.
struct part_reference {
    part_name name;
    content_hash hash;

    friend bool operator==(const part_reference&, const part_reference&) = default;
};

/// @brief Names all parts of one accepted version.
struct config_manifest {
    config_version version;
    /// @brief Hash of the accepted bytes.
    content_hash document;
    std::vector<part_reference> parts;
};

/// @brief A manifest with those parts that the receiver lacks.
struct config_bundle {
    config_manifest manifest;
    std::vector<config_part> parts;
};

/// @brief A version in force, immutable and shared with traffic threads.
struct adopted_config {
    config_manifest manifest;
    environment value;
    /// @brief All parts in the order of the manifest, for peers that fetch them.
    std::vector<config_part> parts;
};

[[nodiscard]] content_hash hash_of(std::string_view bytes);

/// @brief Sorts all lists by id (backend servers by zone first); parts keep this order, not the document's.
[[nodiscard]] environment in_canonical_order(environment value);

/// @brief Splits an environment into parts in the order of their names.
[[nodiscard]] std::vector<config_part> split_environment(const environment& value);

/// @brief Joins parts to the environment in canonical order.
/// @return `malformed_document` if a part can't be read, `config_hash_mismatch` if its content has another
/// hash
[[nodiscard]] result<environment> join_parts(const std::vector<config_part>& parts);

/// @brief Parses a document that has to be valid.
/// @return `config_not_accepted` with the first mistake
[[nodiscard]] result<environment> parse_accepted(std::string_view bytes);

/// @brief Builds the adopted form of accepted bytes.
/// @return `config_not_accepted` if the bytes are no valid document
[[nodiscard]] result<adopted_config> adopt_document(config_version version, std::string_view bytes);

/// @brief Hashes of the manifest's parts that `held` lacks.
/// @param held the version of which parts are at hand, or null
[[nodiscard]] std::vector<content_hash> missing_parts(const config_manifest& manifest,
                                                      const adopted_config* held);

/// @brief Answers a peer that asks for parts by hash; unknown hashes are left out.
[[nodiscard]] config_bundle bundle_of(const adopted_config& held, const std::vector<content_hash>& wanted);

/// @brief Completes a bundle from the parts at hand.
/// @return `config_unavailable` if a part is missing, or the errors of `join_parts`
[[nodiscard]] result<adopted_config> assemble(const config_bundle& bundle, const adopted_config* held);

} // namespace parsleypitch
