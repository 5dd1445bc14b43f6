#include <parsleypitch/configuration/head_watcher.hpp>

#include <algorithm>

namespace parsleypitch {

head_watcher::head_watcher(config_store accepted, object_store store, clock_hook clock)
    : m_accepted(std::move(accepted)), m_store(std::move(store)), m_clock(std::move(clock)) {
}

watch_round head_watcher::next(config_version local_version) {
    if (!m_head || m_head->object < m_reported) {
        if (auto read = read_head(); !read) {
            return {read.error(), {}, {}};
        }
    }
    return m_head->version() > local_version ? fetch() : watch();
}

/// Fails and keeps the known head if the read returned an older one.
result<void> head_watcher::read_head() {
    auto head = m_accepted.read_head();
    if (!head) {
        return head.error();
    }
    const object_version known = std::max(m_reported, m_head ? m_head->object : object_version());
    if (head.value().object < known) {
        return fail(errc::platform_protocol, m_accepted.head_key().str() +
                                                 ": stale read, got object version " +
                                                 std::to_string(head.value().object.value()) +
                                                 ", expected at least " + std::to_string(known.value()));
    }
    m_head = std::move(head.value());
    m_timeout = confirm_timeout;
    return success();
}

watch_round head_watcher::fetch() const {
    const config_entry& entry = m_head->entries.back();
    const auto bytes = m_accepted.read_version(entry);
    if (!bytes) {
        return {bytes.error(), {}, {}};
    }
    auto adopted = adopt_document(entry.version, bytes.value());
    if (!adopted) {
        return {adopted.error(), {}, {}};
    }
    return {{}, std::move(adopted.value()), {}};
}

watch_round head_watcher::watch() {
    const time_point started = m_clock();
    const auto changes = m_store.watch(m_accepted.head_key(), m_head->object, m_timeout);
    if (!changes) {
        return {changes.error(), {}, {}};
    }
    for (const object_entry& changed : changes.value().changed) {
        if (changed.key == m_accepted.head_key() && changed.version > m_head->object) {
            m_reported = std::max(m_reported, changed.version);
            return {};
        }
    }
    m_timeout = watch_timeout;
    return {{}, {}, head_confirmation{m_head->version(), started}};
}

} // namespace parsleypitch
