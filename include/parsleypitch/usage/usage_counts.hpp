#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace parsleypitch {

/// @brief Number of a usage window: window k begins k times the length of a window after the start of 1970.
using usage_window = number_id<struct usage_window_tag>;
/// @brief Position in the changes of a `usage_counts`.
using usage_change = number_id<struct usage_change_tag>;
using account_counts = std::map<caller_id, request_count>;

/// @brief Counts of all accounts in one window.
struct usage_report {
    usage_window window;
    account_counts counts;

    friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// @brief Windows whose counts are kept while no report is made. Without a bound, counts would fill the
/// memory while the store is down.
inline constexpr std::uint64_t max_kept_windows = 120;

[[nodiscard]] usage_window usage_window_at(wall_time at, duration length);
[[nodiscard]] wall_time usage_window_end(usage_window window, duration length);

/// @brief One run of the process of an entry host, which counts the requests that it forwards.
struct usage_origin {
    entry_host_id host;
    incarnation born;

    friend auto operator<=>(const usage_origin&, const usage_origin&) = default;
};

/// @brief Requests of an account that began to run in a window, as counted by one origin.
struct usage_count {
    usage_origin origin;
    usage_window window;
    caller_id account;
    request_count count;

    friend auto operator<=>(const usage_count&, const usage_count&) = default;
};

/// @brief Counts of this host and of others, until their windows are reported.
///
/// A count only grows at its origin, so that counts of the same origin are merged by taking the higher one;
/// messages may be repeated and arrive in any order.
class usage_counts {
  public:
    /// @brief Adds requests that this host has counted.
    /// @return false if the window has been reported, so that the requests are left out
    bool add(const usage_origin& own, usage_window window, const caller_id& account, request_count count);
    /// @brief Merges a count from another host.
    /// @param from host that told of it
    /// @return requests that are new here and belong to a window that has been reported
    request_count merge(const usage_count& told, const usage_origin& from);
    /// @brief Deletes the counts of a window and of older ones.
    void forget_through(usage_window reported);
    /// @brief Deletes the oldest windows above `max_kept_windows`.
    /// @return requests that were deleted
    request_count trim();

    /// @brief Requests of each account in a window, over all origins.
    [[nodiscard]] account_counts totals(usage_window window) const;
    /// @brief Counts that were changed after a position and were not told by `to`.
    [[nodiscard]] std::vector<usage_count> changes(usage_change after, const usage_origin& to) const;
    /// @brief Counts of one origin that were changed after a position.
    [[nodiscard]] std::vector<usage_count> changes_of(const usage_origin& origin, usage_change after) const;
    /// @brief Origins of the counts that are kept.
    [[nodiscard]] std::vector<usage_origin> origins() const;
    [[nodiscard]] usage_change last_change() const noexcept { return m_last_change; }
    /// @brief Last window that has been reported; empty if none is known.
    [[nodiscard]] std::optional<usage_window> reported() const noexcept { return m_reported; }

  private:
    struct cell {
        request_count count;
        usage_change changed;
        /// Host that told of the count last.
        usage_origin from;
    };
    struct key {
        usage_origin origin;
        caller_id account;
        friend auto operator<=>(const key&, const key&) = default;
    };

    [[nodiscard]] bool is_reported(usage_window window) const noexcept {
        return m_reported && window <= *m_reported;
    }
    void collect(const std::function<bool(const key&, const cell&)>& wanted,
                 std::vector<usage_count>& out) const;

    std::map<usage_window, std::map<key, cell>> m_windows;
    usage_change m_last_change;
    std::optional<usage_window> m_reported;
};

} // namespace parsleypitch
