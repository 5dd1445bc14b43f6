#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief The account of a customer whose requests the system serves.
struct client_account {
    caller_id id;
    /// @brief Priority of the account's requests, 0 is the most urgent; empty leaves that of their route.
    std::optional<unsigned> urgency;
};

/// @brief An account together with the secret keys that identify its requests.
struct account_keys {
    client_account account;
    std::vector<std::string> keys;
};

/// @brief Finds the account of a key in constant expected time; immutable once made.
///
/// Neither the buckets nor the comparisons show how much of a guessed key is right: keys are hashed with a
/// secret of the process and compared in constant time. Keys are never written to logs, metrics or reports.
class account_table {
  public:
    /// @brief Builds the table.
    /// @return `duplicate_entry` if two accounts have the same name or share a key; the error names the
    /// accounts and no key
    [[nodiscard]] static result<account_table> build(std::vector<account_keys> accounts);

    /// @return null if no account has the key
    [[nodiscard]] const client_account* find(std::string_view key) const;
    [[nodiscard]] const std::vector<client_account>& accounts() const noexcept { return m_accounts; }
    [[nodiscard]] std::size_t keys() const noexcept { return m_by_key.size(); }

  private:
    struct secret_hash {
        using is_transparent = void;
        [[nodiscard]] std::size_t operator()(std::string_view key) const noexcept;
    };
    struct constant_time_equal {
        using is_transparent = void;
        [[nodiscard]] bool operator()(std::string_view a, std::string_view b) const noexcept;
    };

    std::vector<client_account> m_accounts;
    /// Index into `m_accounts` by key.
    std::unordered_map<std::string, std::size_t, secret_hash, constant_time_equal> m_by_key;
};

} // namespace parsleypitch
