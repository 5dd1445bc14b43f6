#pragma once

#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/serving/platform_adapter.hpp>

#include <map>
#include <mutex>
#include <vector>

namespace parsleypitch {

/// In-memory store of the platform, used by several hosts, that can be restored from a copy. A call after a
/// restore tells its host the new era first, as the client of the real store does.
class restorable_store {
  public:
    /// A writer other than the entry hosts.
    void put(const std::string& kind, const std::string& name, const std::string& content) {
        const std::lock_guard lock(m_mutex);
        store(kind, name, content);
    }
    void erase(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(m_mutex);
        m_state.objects[kind].erase(object_key(name));
        ++m_state.revision;
        m_state.changes.push_back({kind, {{object_key(name), revision(), ""}, true}});
    }
    [[nodiscard]] std::optional<directory_object> find(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(m_mutex);
        const auto& objects = m_state.objects[kind];
        const auto found = objects.find(object_key(name));
        return found == objects.end() ? std::nullopt : std::optional(found->second);
    }
    [[nodiscard]] std::size_t count(const std::string& kind) {
        const std::lock_guard lock(m_mutex);
        return m_state.objects[kind].size();
    }
    void make_copy() {
        const std::lock_guard lock(m_mutex);
        m_copy = m_state;
    }
    /// Goes back to the copy and begins a new era.
    void restore() {
        const std::lock_guard lock(m_mutex);
        m_state = m_copy;
        m_era = m_era.next();
    }
    void set_down(bool down) {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }
    /// Sets what a host does when it learns of a restore.
    void on_restored(kernel& host, restore_hook hook) {
        const std::lock_guard lock(m_mutex);
        m_hosts[&host] = {m_era, std::move(hook)};
    }

    object_handle handle_for(kernel& host, const std::string& kind, const object_key& name) {
        object_handle handle;
        handle.read = [this, &host, kind, name](bool, auto done) {
            answer(host, done, [this, kind, name]() -> result<object_reading> {
                const auto& objects = m_state.objects[kind];
                const auto found = objects.find(name);
                auto object = found == objects.end() ? std::nullopt : std::optional(with_era(found->second));
                return object_reading{std::move(object), m_era};
            });
        };
        handle.write = [this, &host, kind, name](const std::string& content, const store_revision& expected,
                                                 auto done) {
            answer(host, done, [this, kind, name, content, expected]() -> result<store_revision> {
                const auto& objects = m_state.objects[kind];
                const auto found = objects.find(name);
                const object_version current =
                    found == objects.end() ? object_version() : found->second.revision.number;
                if (current != expected.number) {
                    return fail(errc::version_conflict, "");
                }
                store(kind, name.str(), content);
                return revision();
            });
        };
        handle.remove = [this, &host, kind, name](const store_revision&, auto done) {
            answer(host, done, [this, kind, name]() -> result<void> {
                m_state.objects[kind].erase(name);
                ++m_state.revision;
                return success();
            });
        };
        return handle;
    }
    object_source source_for(kernel& host, const std::string& kind) {
        object_source source;
        source.list = [this, &host, kind](const object_key&, page_callback done) {
            answer(host, std::move(done), [this, kind]() -> result<object_page> {
                object_page page;
                for (const auto& [name, object] : m_state.objects[kind]) {
                    page.objects.push_back(with_era(object));
                }
                page.as_of = revision();
                return page;
            });
        };
        source.watch = [this, &host, kind](const store_revision& after, milliseconds, event_callback done) {
            constexpr milliseconds watch_time{20};
            host.post_control_after(watch_time, [this, &host, kind, after, done = std::move(done)] {
                answer(host, done, [this, kind, after] { return changes_after(kind, after); });
            });
        };
        return source;
    }

  private:
    struct change {
        std::string kind;
        object_event event;
    };
    struct contents {
        std::map<std::string, std::map<object_key, directory_object>> objects;
        std::vector<change> changes;
        std::uint64_t revision = 0;
    };
    struct listening_host {
        store_era known;
        restore_hook hook;
    };

    [[nodiscard]] store_revision revision() const { return {m_era, object_version(m_state.revision)}; }
    [[nodiscard]] directory_object with_era(directory_object object) const {
        object.revision.era = m_era;
        return object;
    }
    void store(const std::string& kind, const std::string& name, const std::string& content) {
        ++m_state.revision;
        const directory_object object{object_key(name), revision(), content};
        m_state.objects[kind][object.name] = object;
        m_state.changes.push_back({kind, {object, false}});
    }
    result<object_event_batch> changes_after(const std::string& kind, const store_revision& after) {
        if (after.number.value() > m_state.revision) {
            return fail(errc::history_lost, "");
        }
        object_event_batch batch;
        batch.as_of = revision();
        for (const change& each : m_state.changes) {
            if (each.kind == kind && each.event.object.revision.number > after.number) {
                batch.events.push_back({with_era(each.event.object), each.event.removed});
            }
        }
        return batch;
    }
    template <class Done, class Call>
    void answer(kernel& host, Done done, Call call) {
        const std::lock_guard lock(m_mutex);
        using answer_type = decltype(call());
        const auto answered =
            m_down ? answer_type(fail(errc::platform_unreachable, "")) : answer_type(call());
        const auto listening = m_hosts.find(&host);
        restore_hook restored;
        store_era before;
        if (!m_down && listening != m_hosts.end() && listening->second.known < m_era) {
            before = std::exchange(listening->second.known, m_era);
            restored = listening->second.hook;
        }
        host.post_control([answered, done = std::move(done), restored, before, now = m_era] {
            if (restored) {
                restored(before, now);
            }
            done(answered);
        });
    }

    std::mutex m_mutex;
    contents m_state;
    contents m_copy;
    store_era m_era{1};
    bool m_down = false;
    std::map<kernel*, listening_host> m_hosts;
};

} // namespace parsleypitch
