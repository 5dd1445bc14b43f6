#pragma once

#include <parsleypitch/core/units.hpp>

#include <functional>
#include <map>
#include <memory>

namespace parsleypitch {

/// @brief Limits the bytes that many users buffer together, for example the answers of all engines.
///
/// When a user buffers more and the limit is exceeded, the user with the most bytes is told to give its
/// buffer up, which may be the same one. Users with small buffers are thus not harmed by those with large
/// ones. All calls happen on one thread.
class buffer_budget {
  public:
    /// @brief State shared with the users, which may outlive the budget.
    struct state;

    /// @brief The bytes of one user; its destruction gives them back.
    class share {
      public:
        share() = default;
        share(share&&) noexcept = default;
        share& operator=(share&& other) noexcept;
        share(const share&) = delete;
        share& operator=(const share&) = delete;
        ~share();

        /// @brief Sets the number of bytes that the user buffers. Calls the hook of the user with the most
        /// bytes while the limit is exceeded.
        /// @return false if that was this user
        [[nodiscard]] bool set(byte_count size);

      private:
        friend class buffer_budget;
        share(std::shared_ptr<state> owner, std::uint64_t id) : m_owner(std::move(owner)), m_id(id) {}

        std::shared_ptr<state> m_owner;
        std::uint64_t m_id = 0;
    };

    explicit buffer_budget(byte_count limit);

    /// @brief Adds a user without bytes.
    /// @param revoked called when the user has to give its buffer up; its bytes no longer count
    [[nodiscard]] share open(std::function<void()> revoked);
    /// @brief Bytes that all users buffer.
    [[nodiscard]] byte_count used() const noexcept;

  private:
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch
