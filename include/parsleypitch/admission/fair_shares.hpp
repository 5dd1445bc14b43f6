#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <cstddef>
#include <unordered_map>

namespace parsleypitch {

/// @brief Limits on the engine time of an account while accounts compete for it.
struct fair_shares_config {
    /// @brief Time constant with which started and refused work is forgotten. A host gets some requests of an
    /// account in this time.
    duration memory = seconds(8);
    /// @brief An account is above its share if its started work is above this factor times the mean. One
    /// host sees few requests of an account, so that smaller differences are chance.
    double tolerated_share = 1.5;
    /// @brief An account of which a smaller part of its work is started than this factor times that of all
    /// accounts is never above its share. No account may be served less than a quarter as often as all
    /// requests; the rest is for the few requests of an account that one host sees.
    double served_floor = 0.35;
};

/// @brief Engine time that the requests of each account were given and refused, decayed over seconds.
///
/// Not thread-safe; `now` must not decrease between calls. The time of a call does not depend on the number
/// of accounts, except that once in thirty times `memory` those without recent requests are forgotten.
class fair_shares {
  public:
    explicit fair_shares(fair_shares_config config = {}) : m_config(config) {}

    void note_started(const caller_id& account, duration work, time_point now);
    void note_refused(const caller_id& account, duration work, time_point now);
    /// @brief How far the account is above its share: 0 if it is not, else 1 and one more for each doubling.
    /// Requests give way to those of accounts with a lower level.
    [[nodiscard]] unsigned excess_level(const caller_id& account) const;
    /// @brief Part of the started work, 0 to 1, that was for the account.
    [[nodiscard]] double share(const caller_id& account) const;
    /// @brief Largest share of an account.
    [[nodiscard]] double largest_share() const;
    /// @brief Accounts with recent requests.
    [[nodiscard]] std::size_t accounts() const noexcept { return m_accounts.size(); }

  private:
    /// Amounts of work in units that grow with time, so that older amounts need no update.
    struct amounts {
        double started = 0;
        double refused = 0;
    };

    [[nodiscard]] double unit_at(time_point now);

    fair_shares_config m_config;
    std::unordered_map<caller_id, amounts> m_accounts;
    amounts m_all;
    /// Time at which the unit is one second of work.
    time_point m_unit_is_one_at;
};

} // namespace parsleypitch
