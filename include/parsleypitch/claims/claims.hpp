#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/types.hpp>
#include <parsleypitch/core/units.hpp>

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace parsleypitch {

using partition_id = number_id<struct partition_id_tag>;
/// @brief Hash of the body of a call; it shows whether a key is reused for a different body.
using body_hash = string_id<struct body_hash_tag>;
/// @brief Identifies one grant of a key, so that a late settlement cannot affect a later grant.
using grant_id = string_id<struct grant_id_tag>;

inline constexpr std::uint64_t claim_partition_count = 64;
/// @brief Maximum size of a recorded answer body; only the hash of a larger one is stored.
inline constexpr byte_count max_recorded_answer{4096};

/// @brief One process of an entry host; a restart gives the host a new incarnation.
struct host_instance {
    entry_host_id id;
    incarnation born;

    friend bool operator==(const host_instance&, const host_instance&) = default;
};

/// @brief Identifies a non-repeatable call by its caller and idempotency key.
struct claim_key {
    caller_id caller;
    idempotency_key key;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// @brief Request for permission to run a call.
struct claim_request {
    claim_key key;
    body_hash body;
    /// @brief The process that will run the call.
    host_instance runner;
};

/// @brief Answer of a call that ran.
struct recorded_answer {
    std::uint32_t status = 0;
    std::string content_type;
    /// @brief Empty if `kept` is false.
    std::string body;
    body_hash hash;
    /// @brief Whether the body is recorded and not only its hash.
    bool kept = true;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

enum class claim_outcome {
    /// The claim is stored durably and its runner may run the call.
    granted,
    /// The call has run; the reply contains its recorded answer.
    done,
    /// The call may have run; the key is never granted again.
    unknown,
    /// The key was already used for a call with a different body.
    key_reused,
    /// Nothing was granted, because the write was not confirmed by the store before the deadline.
    unavailable,
    /// Another entry host owns the partition of the key.
    not_owner,
};

/// @brief Reply to a claim.
struct claim_reply {
    claim_outcome outcome = claim_outcome::unavailable;
    /// @brief Set if the outcome is `granted`; the settlement must contain it.
    grant_id grant;
    std::optional<recorded_answer> answer;
    std::string detail;
};

/// @brief Result of a granted call. `not_run` may be reported only if certainly no byte was sent to the
/// service.
struct settlement {
    claim_key key;
    grant_id grant;
    run_state state = run_state::outcome_unknown;
    /// @brief Set if `state` is `ran`.
    std::optional<recorded_answer> answer;
};

/// @brief The partition that holds the record of a key.
[[nodiscard]] partition_id partition_of(const caller_id& caller, const idempotency_key& key);

/// @brief The entry host that owns a partition, chosen by rendezvous hashing.
/// @return `std::nullopt` if no entry host is live
[[nodiscard]] std::optional<host_instance> owner_of(partition_id partition,
                                                    const std::vector<host_instance>& live_hosts);

/// @brief Prepares an answer for recording: sets the hash of its body and drops a body above
/// `max_recorded_answer`.
[[nodiscard]] recorded_answer limit_recorded_body(recorded_answer answer);

} // namespace parsleypitch
