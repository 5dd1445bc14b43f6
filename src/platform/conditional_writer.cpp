#include <parsleypitch/platform/conditional_writer.hpp>

#include <algorithm>

namespace parsleypitch {

write_history append_write_id(write_history history, const write_id& newest) {
    history.push_back(newest);
    if (history.size() > kept_write_ids) {
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept_write_ids));
    }
    return history;
}

conditional_writer::conditional_writer(object_store store, write_history_hook history_of,
                                       back_off_hook back_off, unsigned max_attempts)
    : m_store(std::move(store)), m_history_of(std::move(history_of)), m_back_off(std::move(back_off)),
      m_max_attempts(max_attempts) {
}

result<applied_write> conditional_writer::write(const conditional_write& update) const {
    bool answer_lost = false;
    error last = fail(errc::platform_unreachable, update.key.str() + ": no attempt allowed");
    for (unsigned attempt = 0; attempt < m_max_attempts; ++attempt) {
        if (attempt > 0) {
            m_back_off(attempt);
        }
        const auto put = m_store.put(update.key, update.bytes, update.expected);
        if (put) {
            return applied_write{put.value(), false};
        }
        last = put.error();
        if (last.code == errc::version_conflict) {
            return answer_lost ? resolve_conflict(update) : result<applied_write>(last);
        }
        if (last.code == errc::platform_answer_lost) {
            answer_lost = true;
        } else if (last.code != errc::platform_unreachable && last.code != errc::platform_rate_limited) {
            break;
        }
    }
    if (answer_lost) {
        return fail(errc::platform_answer_lost, update.key.str() + ": outcome of the write is unproved");
    }
    return last;
}

result<applied_write> conditional_writer::resolve_conflict(const conditional_write& update) const {
    for (unsigned attempt = 0; attempt < m_max_attempts; ++attempt) {
        if (attempt > 0) {
            m_back_off(attempt);
        }
        const auto read = m_store.get(update.key);
        // The conflict proves that a later version exists, so that a lower one is a stale read.
        if (!read || read.value().version <= update.expected) {
            continue;
        }
        const auto seen = m_history_of(read.value().bytes);
        if (!seen) {
            break;
        }
        switch (judge(update, seen.value())) {
        case finding::applied:
            return applied_write{read.value().version, seen.value().back() != update.id};
        case finding::never_applies:
            return fail(errc::version_conflict, update.key.str() + ": another write took effect first");
        case finding::unproved:
            break;
        }
        break;
    }
    return fail(errc::platform_answer_lost, update.key.str() + ": outcome of the write is unproved");
}

conditional_writer::finding conditional_writer::judge(const conditional_write& update,
                                                      const write_history& seen) {
    if (std::find(seen.begin(), seen.end(), update.id) != seen.end()) {
        return finding::applied;
    }
    // The absence of the id proves something only while the history still reaches back to the base value.
    const bool reaches_base = update.base.empty()
                                  ? seen.size() < kept_write_ids
                                  : std::find(seen.begin(), seen.end(), update.base.back()) != seen.end();
    return reaches_base ? finding::never_applies : finding::unproved;
}

} // namespace parsleypitch
