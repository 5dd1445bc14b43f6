#include "claim_codec.hpp"

#include <parsleypitch/claims/partition_committer.hpp>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>

#include <algorithm>

namespace parsleypitch {

namespace detail {

/// Write conflicts in a row after which a group fails, so that callers don't wait without bound.
constexpr unsigned max_commit_attempts = 4;

bool fits_in_segment(const std::string& bytes) {
    return bytes.size() <= static_cast<std::size_t>(max_claim_segment.value());
}

/// Another owner of the partition may have recorded the result of a call that is running or unknown here.
bool any_without_answer(const std::vector<claim_commit_result>& results) {
    return std::any_of(results.begin(), results.end(), [](const claim_commit_result& each) {
        return each.decision.waiting || each.decision.reply.outcome == claim_outcome::unknown;
    });
}

} // namespace detail

partition_committer::partition_committer(partition_id partition, const host_instance& self,
                                         claim_commit_hooks hooks)
    : m_open_key("claims/" + std::to_string(partition.value()) + "/open"),
      m_prefix(self.id.str() + "-" + std::to_string(self.born.value()) + "-" +
               std::to_string(partition.value()) + "-"),
      m_hooks(std::move(hooks)), m_writer(m_hooks.store, detail::claim_write_history, m_hooks.back_off) {
}

std::string partition_committer::next_unique_id() {
    return m_prefix + std::to_string(++m_sequence);
}

result<void> partition_committer::load() {
    const auto read = m_hooks.store.get(m_open_key);
    if (!read && read.error().code != errc::object_not_found) {
        return read.error();
    }
    open_segment stored;
    if (read) {
        BOOST_OUTCOME_TRY(decoded, detail::decode_open_segment(read.value().bytes));
        stored = std::move(decoded);
    }
    claim_log log(std::move(stored), m_log);
    BOOST_OUTCOME_TRYV(load_segments(log));
    m_log = std::move(log);
    m_version = read ? read.value().version : object_version(0);
    m_loaded = true;
    return success();
}

result<void> partition_committer::load_segments(claim_log& log) const {
    for (const object_key& key : log.missing_segments()) {
        BOOST_OUTCOME_TRY(segment, m_hooks.store.get(key));
        BOOST_OUTCOME_TRY(records, detail::decode_sealed_segment(segment.bytes));
        log.add_segment(key, std::move(records));
    }
    return success();
}

std::vector<claim_commit_result> partition_committer::commit(const std::vector<claim_operation>& group) {
    std::vector<grant_id> grants(group.size());
    for (grant_id& grant : grants) {
        grant = grant_id(next_unique_id());
    }
    bool reloaded = false;
    for (unsigned attempt = 0; attempt < detail::max_commit_attempts; ++attempt) {
        if (!m_loaded) {
            reloaded = true;
            if (const auto loaded = load(); !loaded) {
                return failed_results(group, loaded.error());
            }
        }
        auto next = prepare(group, grants, false);
        if (next && !detail::fits_in_segment(next.value().bytes)) {
            next = prepare(group, grants, true);
        }
        if (!next) {
            return failed_results(group, next.error());
        }
        if (!next.value().log.changed()) {
            // Another host may have recorded the answer while it owned this partition, so load it again.
            if (detail::any_without_answer(next.value().results) && !reloaded && load()) {
                reloaded = true;
                continue;
            }
            return std::move(next.value().results);
        }
        if (!detail::fits_in_segment(next.value().bytes)) {
            return commit_halves(group);
        }
        const auto stored = store(next.value());
        if (!stored) {
            withdraw_all(group, grants);
            return failed_results(group, stored.error());
        }
        if (stored.value()) {
            return std::move(next.value().results);
        }
    }
    return failed_results(group, fail(errc::version_conflict,
                                      m_open_key.str() + ": every write conflicted with another writer"));
}

result<partition_committer::draft> partition_committer::prepare(const std::vector<claim_operation>& group,
                                                                const std::vector<grant_id>& grants,
                                                                bool seal_first) {
    const claim_context context = m_hooks.context();
    draft next{m_log, {}, {}, {}, {}, write_id(next_unique_id())};
    next.removed = next.log.prune(context);
    if (seal_first) {
        BOOST_OUTCOME_TRYV(seal(next, context.now));
    }
    for (const auto& [key, grant] : m_grants_to_withdraw) {
        next.log.withdraw(key, grant, context.now);
    }
    for (std::size_t i = 0; i < group.size(); ++i) {
        claim_commit_result decided;
        if (const auto* request = std::get_if<claim_request>(&group[i])) {
            decided.decision = next.log.claim(*request, grants[i], context);
        } else if (const auto done = next.log.settle(std::get<settlement>(group[i]), context.now); !done) {
            decided.failure = done.error();
        }
        next.results.push_back(std::move(decided));
    }
    if (next.log.changed()) {
        open_segment written = next.log.segment();
        written.writes = append_write_id(std::move(written.writes), next.id);
        next.bytes = detail::encode_open_segment(written);
    }
    return next;
}

result<void> partition_committer::seal(draft& next, wall_time now) {
    const write_id id(next_unique_id());
    const object_key key(m_open_key.str().substr(0, m_open_key.str().rfind('/')) + "/sealed-" + id.str());
    const claim_records settled = next.log.seal(key, now);
    const auto written =
        m_writer.write({key, object_version(0), {}, id, detail::encode_sealed_segment(settled, id)});
    if (!written) {
        return written.error();
    }
    next.sealed.push_back(key);
    return success();
}

result<bool> partition_committer::store(const draft& next) {
    const auto written = m_writer.write({m_open_key, m_version, m_log.segment().writes, next.id, next.bytes});
    if (!written) {
        m_loaded = false;
        if (written.error().code == errc::version_conflict) {
            remove_segments(next.sealed);
            return false;
        }
        return written.error();
    }
    const write_history history = append_write_id(m_log.segment().writes, next.id);
    m_log = next.log;
    m_log.mark_stored(history);
    m_version = written.value().version;
    // If another write has superseded this one, the version is that of another value, which must be loaded
    // first.
    m_loaded = !written.value().superseded;
    m_grants_to_withdraw.clear();
    remove_segments(next.removed);
    return true;
}

std::vector<claim_commit_result>
partition_committer::commit_halves(const std::vector<claim_operation>& group) {
    if (group.size() <= 1) {
        return failed_results(group, fail(errc::object_too_large,
                                          m_open_key.str() + ": the segment has no room for another claim"));
    }
    const auto middle = group.begin() + static_cast<std::ptrdiff_t>(group.size() / 2);
    auto results = commit({group.begin(), middle});
    auto rest = commit({middle, group.end()});
    results.insert(results.end(), std::make_move_iterator(rest.begin()), std::make_move_iterator(rest.end()));
    return results;
}

std::vector<claim_commit_result>
partition_committer::failed_results(const std::vector<claim_operation>& group, const error& cause) const {
    LOG(WARNING) << "claims: commit of " << group.size() << " operations failed: " << to_string(cause);
    const error refusal = fail(errc::claims_unavailable, to_string(cause));
    std::vector<claim_commit_result> results;
    for (const claim_operation& operation : group) {
        claim_commit_result each;
        each.decision.reply = {claim_outcome::unavailable, {}, std::nullopt, refusal.detail};
        const auto* request = std::get_if<claim_request>(&operation);
        const claim_record* known = request == nullptr ? nullptr : m_log.find(request->key);
        // `unavailable` means that no call has run, which is not certain if the key has been granted before.
        if (known != nullptr && known->state != claim_state::not_run) {
            each.decision.reply.outcome = claim_outcome::unknown;
        }
        each.failure = refusal;
        results.push_back(std::move(each));
    }
    return results;
}

void partition_committer::withdraw(const claim_key& key, const grant_id& grant) {
    m_grants_to_withdraw.emplace_back(key, grant);
}

void partition_committer::withdraw_all(const std::vector<claim_operation>& group,
                                       const std::vector<grant_id>& grants) {
    for (std::size_t i = 0; i < group.size(); ++i) {
        if (const auto* request = std::get_if<claim_request>(&group[i])) {
            withdraw(request->key, grants[i]);
        }
    }
}

void partition_committer::remove_segments(const std::vector<object_key>& keys) const {
    for (const object_key& key : keys) {
        const auto segment = m_hooks.store.get(key);
        if (!segment || !m_hooks.store.remove(key, segment.value().version)) {
            LOG(WARNING) << "claims: unused segment " << key << " could not be removed";
        }
    }
}

} // namespace parsleypitch
