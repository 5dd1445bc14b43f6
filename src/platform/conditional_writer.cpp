#include <parsleypitch/platform/conditional_writer.hpp>

#include <algorithm>

namespace parsleypitch {

write_history append_write_id(write_history history, const write_id& newest) {
    history.push_back(newest);
    if (history.size() > max_write_history_size) {
        history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(max_write_history_size));
    }
    return history;
}

conditional_writer::conditional_writer(object_store store, write_history_hook read_history,
                                       back_off_hook back_off, unsigned max_attempts)
    : m_store(std::move(store)), m_read_history(std::move(read_history)), m_back_off(std::move(back_off)),
      m_max_attempts(max_attempts) {
}

result<applied_write> conditional_writer::write(const conditional_write& update) const {
    bool answer_lost = false;
    error last_error =
        fail(errc::platform_unreachable, update.key.str() + ": the limit of write attempts is 0");
    for (unsigned attempt = 0; attempt < m_max_attempts; ++attempt) {
        if (attempt > 0) {
            m_back_off(attempt);
        }
        const auto put = m_store.put(update.key, update.bytes, update.expected);
        if (put) {
            return applied_write{put.value(), false};
        }
        last_error = put.error();
        if (last_error.code == errc::version_conflict) {
            return answer_lost ? resolve_conflict(update) : result<applied_write>(last_error);
        }
        if (last_error.code == errc::platform_answer_lost) {
            answer_lost = true;
        } else if (last_error.code != errc::platform_unreachable &&
                   last_error.code != errc::platform_rate_limited) {
            break;
        }
    }
    if (answer_lost) {
        return fail(errc::platform_answer_lost,
                    update.key.str() + ": it is unknown whether the write took effect");
    }
    return last_error;
}

result<applied_write> conditional_writer::resolve_conflict(const conditional_write& update) const {
    for (unsigned attempt = 0; attempt < m_max_attempts; ++attempt) {
        if (attempt > 0) {
            m_back_off(attempt);
        }
        const auto read = m_store.get(update.key);
        // After the conflict a version above `expected` must exist, so a read without it is stale.
        if (!read || read.value().version <= update.expected) {
            continue;
        }
        const auto history = m_read_history(read.value().bytes);
        if (!history) {
            break;
        }
        switch (outcome_from_history(update, history.value())) {
        case write_outcome::applied:
            return applied_write{read.value().version, history.value().back() != update.id};
        case write_outcome::cannot_apply:
            return fail(errc::version_conflict, update.key.str() + ": another write took effect first");
        case write_outcome::unknown:
            break;
        }
        break;
    }
    return fail(errc::platform_answer_lost,
                update.key.str() + ": it is unknown whether the write took effect");
}

conditional_writer::write_outcome conditional_writer::outcome_from_history(const conditional_write& update,
                                                                           const write_history& history) {
    if (std::find(history.begin(), history.end(), update.id) != history.end()) {
        return write_outcome::applied;
    }
    // A missing id proves that the write cannot apply only if no write since `base` has dropped out of the
    // history.
    const bool includes_base =
        update.base.empty() ? history.size() < max_write_history_size
                            : std::find(history.begin(), history.end(), update.base.back()) != history.end();
    return includes_base ? write_outcome::cannot_apply : write_outcome::unknown;
}

} // namespace parsleypitch
