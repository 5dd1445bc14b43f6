#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Write ids that a value keeps, the newest last.
inline constexpr std::size_t kept_write_ids = 16;
/// @brief Calls of the store that one conditional write may make before its outcome counts as unproved.
inline constexpr unsigned default_write_attempts = 4;

using write_history = std::vector<write_id>;

/// @brief The history after one more write, limited to the newest `kept_write_ids`.
[[nodiscard]] write_history append_write_id(write_history history, const write_id& newest);

/// @brief Reads the write ids from the bytes of a value.
using write_history_hook = std::function<result<write_history>(const std::string& bytes)>;

/// @brief Waits before attempt number `attempt`, which is at least 1; called on the thread of the write.
using back_off_hook = std::function<void(unsigned attempt)>;

/// @brief A conditional update whose `bytes` carry `id` as the newest entry of their write history.
struct conditional_write {
    object_key key;
    object_version expected;
    /// @brief History of the value at version `expected`; empty if `expected` is 0.
    write_history base;
    write_id id;
    std::string bytes;
};

/// @brief A conditional update that took effect.
struct applied_write {
    /// @brief Version of the object when the outcome was proved.
    object_version version;
    /// @brief Another writer has overwritten the value since, so that `version` holds its value.
    bool superseded = false;
};

/// @brief Performs conditional updates and finds out after a lost answer whether its own write took effect.
class conditional_writer {
  public:
    conditional_writer(object_store store, write_history_hook history_of, back_off_hook back_off,
                       unsigned max_attempts = default_write_attempts);

    /// @brief Performs the update.
    /// @return the applied write; `version_conflict` if it was proved that the write never takes effect
    /// because another one did; `platform_answer_lost` if the outcome is unproved; any other error if no
    /// attempt took effect
    [[nodiscard]] result<applied_write> write(const conditional_write& update) const;

  private:
    enum class finding { applied, never_applies, unproved };

    [[nodiscard]] result<applied_write> resolve_conflict(const conditional_write& update) const;
    [[nodiscard]] static finding judge(const conditional_write& update, const write_history& seen);

    object_store m_store;
    write_history_hook m_history_of;
    back_off_hook m_back_off;
    unsigned m_max_attempts;
};

} // namespace parsleypitch
