#include <parsleypitch/directory/kind_watcher.hpp>

#include <algorithm>

namespace parsleypitch {

void kind_watcher::list_from(const object_key& after) {
    if (after.empty()) {
        m_listed_objects.clear();
        m_listed_size.reset();
        m_first_page = true;
    }
    m_source.list(after, [self = shared_from_this(), after, call = ++m_call](result<object_page> page) {
        if (!self->m_stopped && self->m_call == call) {
            self->on_page(after, std::move(page));
        }
    });
}

void kind_watcher::on_restored(store_era now) {
    if (m_stopped || now <= m_era) {
        return;
    }
    m_era = now;
    list_from(object_key());
}

bool kind_watcher::accept_era(store_era era, const std::function<void()>& repeat) {
    const store_era era_before = m_era;
    if (era < m_era) {
        retry(fail(errc::platform_answer_lost, "the answer is from before a restore of the store"), repeat);
        return false;
    }
    on_restored(era);
    return era == era_before;
}

void kind_watcher::on_page(const object_key& after, result<object_page> page) {
    if (!page) {
        // Only the failed page is read again: the watch later reports changes to the pages read before it.
        retry(page.error(), [this, after] { list_from(after); });
        return;
    }
    // The first page begins a list, so it may be of any later era.
    if (m_first_page) {
        m_era = std::max(m_era, page.value().as_of.era);
    }
    if (!accept_era(page.value().as_of.era, [this, after] { list_from(after); })) {
        return;
    }
    m_retry_delay = first_retry_delay;
    if (std::exchange(m_first_page, false)) {
        m_revision = page.value().as_of;
    }
    if (!m_listed_size.add(page.value())) {
        m_listed_objects.clear();
        retry(fail(errc::platform_protocol, "list: the objects exceed the size limit"),
              [this] { list_from(object_key()); });
        return;
    }
    auto& objects = page.value().objects;
    std::move(objects.begin(), objects.end(), std::back_inserter(m_listed_objects));
    if (page.value().has_more) {
        continue_after(after, page.value().last);
        return;
    }
    m_hooks.listed(std::exchange(m_listed_objects, {}), m_revision);
    watch();
}

void kind_watcher::continue_after(const object_key& before, const object_key& last) {
    if (last.empty() || last == before) {
        retry(fail(errc::platform_protocol, "list: a page does not advance"),
              [this, before] { list_from(before); });
        return;
    }
    list_from(last);
}

void kind_watcher::watch() {
    m_source.watch(m_revision, m_hooks.watch_wait,
                   [self = shared_from_this(), call = ++m_call](result<object_event_batch> batch) {
                       if (!self->m_stopped && self->m_call == call) {
                           self->on_events(std::move(batch));
                       }
                   });
}

void kind_watcher::on_events(result<object_event_batch> batch) {
    if (!batch) {
        if (batch.error().code == errc::history_lost) {
            retry(batch.error(), [this] { list_from(object_key()); });
            return;
        }
        retry(batch.error(), [this] { watch(); });
        return;
    }
    if (!accept_era(batch.value().as_of.era, [this] { watch(); })) {
        return;
    }
    m_retry_delay = first_retry_delay;
    m_revision = std::max(m_revision, batch.value().as_of);
    m_hooks.changed(batch.value());
    if (batch.value().events.empty()) {
        watch();
        return;
    }
    m_hooks.schedule(m_hooks.coalesce_delay, [self = shared_from_this(), call = m_call] {
        if (!self->m_stopped && self->m_call == call) {
            self->watch();
        }
    });
}

void kind_watcher::retry(const error& why, std::function<void()> step) {
    const auto half = m_retry_delay / 2;
    const duration delay =
        half +
        duration(static_cast<duration::rep>(m_hooks.random(static_cast<std::uint64_t>(half.count()) + 1)));
    m_retry_delay = std::min<duration>(m_retry_delay * 2, longest_retry_delay);
    m_hooks.failed(why, delay);
    m_hooks.schedule(delay, [self = shared_from_this(), step = std::move(step), call = m_call] {
        if (!self->m_stopped && self->m_call == call) {
            step();
        }
    });
}

} // namespace parsleypitch
