#pragma once

#include <parsleypitch/configuration/config_parts.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Maximum number of accepted versions that the head lists; the oldest are dropped. 500 entries of at
/// most 400 bytes stay below the size limit of a stored object.
inline constexpr std::size_t max_config_entries = 500;
/// @brief Calls to the store, the first included, that one step of an acceptance may make before it fails.
inline constexpr unsigned config_store_attempts = 5;

/// @brief One accepted version.
struct config_entry {
    config_version version;
    content_hash hash;
    byte_count size;
    /// @brief Unique id of the acceptance, by which its operator finds out after a lost answer whether it
    /// took effect.
    write_id writer;
    /// @brief Environment from which the document was promoted; empty if it was applied directly.
    environment_name promoted_from;

    friend bool operator==(const config_entry&, const config_entry&) = default;
};

/// @brief The head object of an environment, which lists its accepted versions. The newest entry is the
/// current version.
struct config_head {
    /// @brief Version of the head object in the store; 0 if no version was accepted yet.
    object_version object;
    /// @brief Accepted versions, oldest first.
    std::vector<config_entry> entries;

    /// @brief The newest accepted version; 0 if there is none.
    [[nodiscard]] config_version version() const {
        return entries.empty() ? config_version() : entries.back().version;
    }
};

/// @brief Generates an id that is unique among all writes.
using write_id_hook = std::function<write_id()>;
/// @brief Waits before retry number `attempt`, which counts from 1.
using store_wait_hook = std::function<void(unsigned attempt)>;

/// @brief Accepts, reads and promotes the configuration of one environment in the object store.
///
/// All calls block; they are made on worker threads or in operator commands.
class config_store {
  public:
    /// @param wait called before each retry
    /// @param max_attempts calls to the store that each step may make before it fails, the first included
    config_store(object_store store, environment_name name, write_id_hook next_id, store_wait_hook wait,
                 unsigned max_attempts = config_store_attempts);

    /// @brief Reads the head; it is empty, with version 0, if the environment has none yet.
    [[nodiscard]] result<config_head> read_head() const;
    /// @brief Reads the document of an accepted version.
    /// @return the document; `config_hash_mismatch` if the stored bytes are not those that were accepted
    [[nodiscard]] result<std::string> read_version(const config_entry& entry) const;
    /// @brief Returns the last `max_config_entries` accepted versions, oldest first.
    [[nodiscard]] result<std::vector<config_entry>> history() const;

    /// @brief Accepts a document as the next version.
    /// @param expected the version on which the operator based the document; not checked if empty
    /// @return the new entry; `config_not_accepted` if the document has mistakes; `config_raced` if another
    /// version was accepted first; `platform_answer_lost` if it is unknown whether the write took effect;
    /// otherwise the error of the store
    [[nodiscard]] result<config_entry> accept(const std::string& bytes,
                                              std::optional<config_version> expected) const;

    /// @brief Accepts a document that `source` has accepted, byte for byte.
    /// @param hash hash of the document to promote
    /// @param expected the current version of this environment; not checked if empty
    /// @return the new entry; `config_hash_mismatch` if `source` lists no document with this hash or its
    /// stored bytes have another hash; otherwise the errors of `accept`
    [[nodiscard]] result<config_entry> promote(const config_store& source, const content_hash& hash,
                                               std::optional<config_version> expected) const;

    [[nodiscard]] const environment_name& name() const noexcept { return m_name; }
    [[nodiscard]] object_key head_key() const;

  private:
    [[nodiscard]] object_key chunk_key(config_version version, std::size_t index) const;
    [[nodiscard]] result<config_entry> accept_from(const std::string& bytes,
                                                   std::optional<config_version> expected,
                                                   const environment_name& source) const;
    /// Writes the document under the first unused version number after `last`.
    [[nodiscard]] result<config_version> create_version(config_version last, const std::string& bytes) const;
    /// @return false if a chunk of this version exists with other bytes
    [[nodiscard]] result<bool> create_chunks(config_version version, const std::string& bytes) const;
    /// @return false if the object exists with other bytes
    [[nodiscard]] result<bool> create_object(const object_key& key, const std::string& bytes) const;
    [[nodiscard]] result<void> update_head(const config_head& base, const config_entry& entry) const;

    object_store m_store;
    environment_name m_name;
    write_id_hook m_next_id;
    store_wait_hook m_wait;
    unsigned m_max_attempts;
};

} // namespace parsleypitch
