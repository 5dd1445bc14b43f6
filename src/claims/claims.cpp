#include <parsleypitch/claims/claims.hpp>
#include <parsleypitch/core/hash.hpp>

namespace parsleypitch {

partition_id partition_of(const caller_id& caller, const idempotency_key& key) {
    // The hash of the caller is the seed for the hash of the key, so that the two texts need no separator.
    const std::uint64_t hash = hash_bytes(key.str(), hash_bytes(caller.str()));
    return partition_id(hash % claim_partition_count);
}

std::optional<host_instance> owner_of(partition_id partition, const std::vector<host_instance>& live_hosts) {
    const host_instance* owner = nullptr;
    std::uint64_t highest = 0;
    for (const host_instance& host : live_hosts) {
        const std::uint64_t weight = hash_bytes(host.id.str(), partition.value());
        if (owner == nullptr || weight > highest || (weight == highest && host.id < owner->id)) {
            owner = &host;
            highest = weight;
        }
    }
    return owner == nullptr ? std::nullopt : std::optional<host_instance>(*owner);
}

recorded_answer limit_recorded_body(recorded_answer answer) {
    if (answer.kept) {
        answer.hash = body_hash(sha256_hex(answer.body));
    }
    if (answer.body.size() > static_cast<std::size_t>(max_recorded_answer.value())) {
        answer.body.clear();
        answer.kept = false;
    }
    return answer;
}

} // namespace parsleypitch
