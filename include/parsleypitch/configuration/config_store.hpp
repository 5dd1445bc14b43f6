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

/// @brief Accepted versions that the head lists. 500 entries of at most 400 bytes stay under the limit of one
/// value.
inline constexpr std::size_t max_config_entries = 500;
/// @brief Calls of the store that one step of an acceptance may repeat before its outcome counts as unproved.
inline constexpr unsigned config_store_attempts = 5;

/// @brief One accepted version.
struct config_entry {
    config_version version;
    content_hash hash;
    byte_count size;
    /// @brief Identifies the acceptance, so that its operator recognises it after a lost answer.
    write_id writer;
    /// @brief Environment from which the bytes were promoted; empty if they were applied.
    environment_name promoted_from;

    friend bool operator==(const config_entry&, const config_entry&) = default;
};

/// @brief The head object of an environment; the newest entry is in force.
struct config_head {
    /// @brief Version of the object; 0 if nothing was accepted yet.
    object_version object;
    /// @brief Accepted versions, the newest last.
    std::vector<config_entry> entries;

    [[nodiscard]] config_version version() const {
        return entries.empty() ? config_version() : entries.back().version;
    }
};

/// @brief Makes an id that no other write has.
using write_id_hook = std::function<write_id()>;
/// @brief Waits before repetition number `attempt`, which is at least 1.
using store_wait_hook = std::function<void(unsigned attempt)>;

/// @brief Accepts, reads and promotes the configuration of one environment through the object API.
///
/// All calls block and run on worker threads or in operator commands.
class config_store {
  public:
    /// @param max_attempts calls that each step may make before it fails
    config_store(object_store store, environment_name name, write_id_hook next_id, store_wait_hook wait,
                 unsigned max_attempts = config_store_attempts);

    /// @brief Reads the head; an environment without any has version 0.
    [[nodiscard]] result<config_head> read_head() const;
    /// @brief Reads the accepted bytes.
    /// @return `config_hash_mismatch` if the stored bytes are not those that were accepted
    [[nodiscard]] result<std::string> read_version(const config_entry& entry) const;
    /// @brief The accepted versions, the newest last, limited to `max_config_entries`.
    [[nodiscard]] result<std::vector<config_entry>> history() const;

    /// @brief Accepts a document as the next version.
    /// @param expected the version on which the operator based the document; not checked if empty
    /// @return `config_not_accepted` if the document has mistakes, `config_raced` if another version was
    /// accepted first, `platform_answer_lost` if the outcome could not be proved, or the failure of the
    /// platform
    [[nodiscard]] result<config_entry> accept(const std::string& bytes,
                                              std::optional<config_version> expected) const;

    /// @brief Accepts here the very bytes that `source` accepted under `hash`.
    /// @return `config_hash_mismatch` if `source` accepted no such bytes, or the errors of `accept`
    [[nodiscard]] result<config_entry> promote(const config_store& source, const content_hash& hash,
                                               std::optional<config_version> expected) const;

    [[nodiscard]] const environment_name& name() const noexcept { return m_name; }
    [[nodiscard]] object_key head_key() const;

  private:
    [[nodiscard]] object_key chunk_key(config_version version, std::size_t index) const;
    [[nodiscard]] result<config_entry> accept_from(const std::string& bytes,
                                                   std::optional<config_version> expected,
                                                   const environment_name& source) const;
    /// Writes the bytes under the first free version after `last`.
    [[nodiscard]] result<config_version> create_version(config_version last, const std::string& bytes) const;
    [[nodiscard]] result<bool> create_chunks(config_version version, const std::string& bytes) const;
    /// @return false if the key holds other bytes
    [[nodiscard]] result<bool> create_object(const object_key& key, const std::string& bytes) const;
    [[nodiscard]] result<void> update_head(const config_head& base, const config_entry& entry) const;

    object_store m_store;
    environment_name m_name;
    write_id_hook m_next_id;
    store_wait_hook m_wait;
    unsigned m_max_attempts;
};

} // namespace parsleypitch
