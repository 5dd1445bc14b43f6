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
/// @brief Hash of the body of a call, by which another body under the same key is detected.
using body_hash = string_id<struct body_hash_tag>;
/// @brief Identifies one grant of a key, so that a late settlement never affects a later grant.
using grant_id = string_id<struct grant_id_tag>;

inline constexpr std::uint64_t claim_partition_count = 64;
/// @brief Greatest body of an answer that is recorded; of a larger one only the hash is kept.
inline constexpr byte_count max_recorded_answer{4096};

/// @brief One process of an entry host.
struct host_instance {
    entry_host_id id;
    incarnation born;

    friend bool operator==(const host_instance&, const host_instance&) = default;
};

/// @brief Names a call that may not be repeated.
struct claim_key {
    caller_id caller;
    idempotency_key key;

    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// @brief Asks for the right to run a call.
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
    bool kept = true;

    friend bool operator==(const recorded_answer&, const recorded_answer&) = default;
};

enum class claim_outcome {
    /// The claim is durable and its runner may run the call.
    granted,
    /// The call ran; the reply has its recorded answer.
    done,
    /// The call may have run and is never run again.
    unknown,
    /// The key belongs to a call with another body.
    key_reused,
    /// Nothing was granted, because the store did not prove the write before the deadline.
    unavailable,
    /// Another entry host owns the partition of the key.
    not_owner,
};

/// @brief Reply to a claim.
struct claim_reply {
    claim_outcome outcome = claim_outcome::unavailable;
    /// @brief Set if the outcome is `granted`; the settlement names it.
    grant_id grant;
    std::optional<recorded_answer> answer;
    std::string detail;
};

/// @brief Result of a granted call. `not_run` requires a proof that no byte left for the service.
struct settlement {
    claim_key key;
    grant_id grant;
    run_state state = run_state::outcome_unknown;
    /// @brief Set if `state` is `ran`.
    std::optional<recorded_answer> answer;
};

/// @brief The partition of a key.
[[nodiscard]] partition_id partition_of(const caller_id& caller, const idempotency_key& key);

/// @brief The entry host that owns a partition, by rendezvous hash.
/// @return nothing if no entry host is live
[[nodiscard]] std::optional<host_instance> owner_of(partition_id partition,
                                                    const std::vector<host_instance>& live);

/// @brief The answer as it is recorded: a body above `max_recorded_answer` is replaced by its hash.
[[nodiscard]] recorded_answer limit_recorded_body(recorded_answer answer);

} // namespace parsleypitch
