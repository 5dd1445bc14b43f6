#pragma once

#include <parsleypitch/claims/claims.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace parsleypitch {

/// @brief Time for which a settled key is kept.
inline constexpr std::chrono::hours claim_retention{24};
/// @brief Greatest size of one segment of a partition's log.
inline constexpr byte_count max_claim_segment{262'144};

enum class claim_state { running, done, not_run, unknown };

/// @brief The state of one key.
struct claim_record {
    body_hash body;
    host_instance runner;
    grant_id grant;
    claim_state state = claim_state::running;
    /// @brief When the record entered its state.
    wall_time since;
    std::optional<recorded_answer> answer;
};

using claim_records = std::map<claim_key, claim_record>;

/// @brief A sealed segment, which never changes; it may be removed once `newest` is older than the retention.
struct sealed_segment {
    object_key key;
    wall_time newest;
};

/// @brief Content of a partition's open object. Its records override those of the sealed segments.
struct open_segment {
    write_history writes;
    /// @brief Oldest first; later segments override earlier ones.
    std::vector<sealed_segment> sealed;
    claim_records records;
};

/// @brief What is known about the runners and the time while a log decides.
struct claim_context {
    std::vector<host_instance> live;
    wall_time now;
};

/// @brief Decision about one claim; `waiting` means that a live runner has not settled it yet.
struct claim_decision {
    bool waiting = false;
    claim_reply reply;
};

/// @brief Index and decisions of one partition. A copy serves as draft: it is changed, written, and then
/// adopted.
class claim_log {
  public:
    claim_log() = default;
    /// @brief Takes over what is stored; sealed segments already known from `before` are kept.
    claim_log(open_segment stored, const claim_log& before);

    /// @brief Sealed segments that have to be added before the log decides.
    [[nodiscard]] std::vector<object_key> missing_segments() const;
    void add_segment(const object_key& key, claim_records records);

    /// @brief Decides a claim; a grant is recorded under `grant` and holds once this log is stored.
    [[nodiscard]] claim_decision claim(const claim_request& request, const grant_id& grant,
                                       const claim_context& context);

    /// @brief Records the result of a granted call; repeating it has no further effect.
    /// @return `outcome_unknown` if the grant is not the current one or has another result
    [[nodiscard]] result<void> settle(const settlement& settled, wall_time now);

    /// @brief Marks a grant that was never reported to its runner as not run.
    void withdraw(const claim_key& key, const grant_id& grant, wall_time now);

    /// @brief Removes what is older than the retention and ends the claims of runners that are gone.
    /// @return the keys of the segments that are no longer part of the log
    std::vector<object_key> prune(const claim_context& context);

    /// @brief Moves the settled records of the open segment into a new sealed segment.
    /// @return the records to store under `key`
    claim_records seal(const object_key& key, wall_time now);

    /// @brief Whether the log differs from what was stored.
    [[nodiscard]] bool changed() const noexcept { return m_changed; }
    [[nodiscard]] const open_segment& open() const noexcept { return m_open; }
    /// @brief Takes note that the log was stored with these write ids.
    void stored(write_history writes);

    [[nodiscard]] const claim_record* find(const claim_key& key) const;

  private:
    void put(const claim_key& key, claim_record record);

    open_segment m_open;
    std::map<object_key, std::shared_ptr<const claim_records>> m_sealed;
    bool m_changed = false;
};

} // namespace parsleypitch
