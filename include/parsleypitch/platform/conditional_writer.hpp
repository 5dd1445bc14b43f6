#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Maximum number of write ids in the write history of a value.
inline constexpr std::size_t max_write_history_size = 16;
/// @brief Maximum number of calls to the store for one conditional write, and again for finding out its
/// outcome after a lost response.
inline constexpr unsigned default_write_attempts = 4;

/// @brief Ids of the latest writes to a value, the newest last; stored as part of the value.
using write_history = std::vector<write_id>;

/// @brief Appends `newest` to a history and drops the oldest ids above `max_write_history_size`.
[[nodiscard]] write_history append_write_id(write_history history, const write_id& newest);

/// @brief Decodes the write history from the bytes of a value.
using write_history_hook = std::function<result<write_history>(const std::string& bytes)>;

/// @brief Blocks for the back-off time before retry number `attempt`, which is at least 1; called on the
/// thread that performs the write.
using back_off_hook = std::function<void(unsigned attempt)>;

/// @brief A write that takes effect only if the object still has the expected version.
struct conditional_write {
    object_key key;
    object_version expected;
    /// @brief Write history of the value at version `expected`; empty if `expected` is 0.
    write_history base;
    write_id id;
    /// @brief The new value; the newest entry of its write history is `id`.
    std::string bytes;
};

/// @brief A conditional write that took effect.
struct applied_write {
    /// @brief Version of the object when the outcome was determined.
    object_version version;
    /// @brief Whether another write has replaced the value since, so that `version` belongs to that write.
    bool superseded = false;
};

/// @brief Performs conditional writes and finds out after a lost response whether the write took effect.
class conditional_writer {
  public:
    conditional_writer(object_store store, write_history_hook read_history, back_off_hook back_off,
                       unsigned max_attempts = default_write_attempts);

    /// @brief Performs the write and retries it after transient errors.
    /// @return the applied write; `version_conflict` if another write took effect instead;
    /// `platform_answer_lost` if it is unknown whether the write took effect; any other error if the write
    /// did not take effect
    [[nodiscard]] result<applied_write> write(const conditional_write& update) const;

  private:
    enum class write_outcome { applied, cannot_apply, unknown };

    /// Determines after a lost response and a conflict which write took effect.
    [[nodiscard]] result<applied_write> resolve_conflict(const conditional_write& update) const;
    [[nodiscard]] static write_outcome outcome_from_history(const conditional_write& update,
                                                            const write_history& history);

    object_store m_store;
    write_history_hook m_read_history;
    back_off_hook m_back_off;
    unsigned m_max_attempts;
};

} // namespace parsleypitch
