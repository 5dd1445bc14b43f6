#pragma once

#include <parsleypitch/platform/object_store.hpp>

#include <boost/outcome/try.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace parsleypitch {

/// @brief Faults of a `memory_object_store`; each affected call decrements its count.
struct store_faults {
    bool down = false;
    /// @brief Writes that take effect but return `platform_answer_lost`.
    unsigned lose_answers = 0;
    /// @brief Writes that return `platform_answer_lost` without taking effect.
    unsigned lose_writes = 0;
    /// @brief Writes that return `platform_answer_lost` and arrive at the store only after three more calls.
    unsigned delay_writes = 0;
    /// @brief Calls that return `platform_rate_limited`.
    unsigned refuse = 0;
    /// @brief Reads that return the value from before the last write of the key.
    unsigned stale_reads = 0;
    /// @brief Called once before the next write without the lock held, so that it can act as a concurrent
    /// writer.
    std::function<void()> before_write = {};
};

/// @brief An in-memory object store with fault injection; safe to use from any thread.
class memory_object_store {
  public:
    /// @brief Hooks that refer to this store, which must outlive them.
    [[nodiscard]] object_store hooks() {
        object_store store;
        store.get = [this](const object_key& key) { return get(key); };
        store.put = [this](const object_key& key, const std::string& bytes, object_version expected) {
            return put(key, bytes, expected);
        };
        store.remove = [this](const object_key& key, object_version expected) {
            return remove(key, expected);
        };
        store.list = [this](const object_key& prefix) { return list(prefix); };
        store.watch = [this](const object_key& prefix, object_version after, milliseconds timeout) {
            return watch(prefix, after, timeout);
        };
        return store;
    }

    void set_faults(store_faults faults) {
        const std::lock_guard lock(m_mutex);
        m_faults = std::move(faults);
    }

    /// @brief Number of writes that took effect.
    [[nodiscard]] unsigned writes() const {
        const std::lock_guard lock(m_mutex);
        return m_writes;
    }

  private:
    struct slot {
        stored_object now;
        stored_object before;
    };

    struct delayed_write {
        object_key key;
        std::string bytes;
        object_version expected;
        unsigned calls_left = 3;
    };

    static bool consume(unsigned& count) {
        if (count == 0) {
            return false;
        }
        --count;
        return true;
    }

    result<void> check_availability(const object_key& key) {
        deliver_delayed();
        if (m_faults.down) {
            return fail(errc::platform_unreachable, key.str());
        }
        if (consume(m_faults.refuse)) {
            return fail(errc::platform_rate_limited, key.str());
        }
        return success();
    }

    result<stored_object> get(const object_key& key) {
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRYV(check_availability(key));
        const auto found = m_slots.find(key);
        const bool stale = consume(m_faults.stale_reads);
        if (found == m_slots.end()) {
            return fail(errc::object_not_found, key.str());
        }
        const stored_object& seen = stale ? found->second.before : found->second.now;
        if (seen.version == object_version(0)) {
            return fail(errc::object_not_found, key.str());
        }
        return seen;
    }

    result<object_version> put(const object_key& key, const std::string& bytes, object_version expected) {
        run_before_write();
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRYV(check_availability(key));
        if (consume(m_faults.delay_writes)) {
            m_delayed.push_back({key, bytes, expected});
            return fail(errc::platform_answer_lost, key.str());
        }
        if (consume(m_faults.lose_writes)) {
            return fail(errc::platform_answer_lost, key.str());
        }
        BOOST_OUTCOME_TRYV(replace(key, bytes, expected, false));
        if (consume(m_faults.lose_answers)) {
            return fail(errc::platform_answer_lost, key.str());
        }
        return m_revision;
    }

    result<void> remove(const object_key& key, object_version expected) {
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRYV(check_availability(key));
        return replace(key, {}, expected, true);
    }

    /// Applies each delayed write after the given number of calls; a version conflict drops it, as in a real
    /// store.
    void deliver_delayed() {
        for (auto it = m_delayed.begin(); it != m_delayed.end();) {
            if (consume(it->calls_left)) {
                ++it;
                continue;
            }
            (void)replace(it->key, it->bytes, it->expected, false);
            it = m_delayed.erase(it);
        }
    }

    void run_before_write() {
        std::function<void()> before_write;
        {
            const std::lock_guard lock(m_mutex);
            before_write = std::exchange(m_faults.before_write, nullptr);
        }
        if (before_write) {
            before_write();
        }
    }

    result<void> replace(const object_key& key, const std::string& bytes, object_version expected,
                         bool removed) {
        if (bytes.size() > static_cast<std::size_t>(max_object_size.value())) {
            return fail(errc::object_too_large, key.str());
        }
        slot& target = m_slots[key];
        if (target.now.version != expected) {
            return fail(errc::version_conflict, key.str());
        }
        m_revision = m_revision.next();
        target.before = target.now;
        target.now = {key, removed ? object_version(0) : m_revision, bytes};
        m_changed[key] = m_revision;
        ++m_writes;
        m_change.notify_all();
        return success();
    }

    result<std::vector<object_entry>> list(const object_key& prefix) {
        const std::lock_guard lock(m_mutex);
        BOOST_OUTCOME_TRYV(check_availability(prefix));
        std::vector<object_entry> entries;
        for (const auto& [key, held] : m_slots) {
            if (key.str().starts_with(prefix.str()) && held.now.version != object_version(0)) {
                entries.push_back({key, held.now.version});
            }
        }
        return entries;
    }

    result<object_changes> watch(const object_key& prefix, object_version after, milliseconds timeout) {
        std::unique_lock lock(m_mutex);
        BOOST_OUTCOME_TRYV(check_availability(prefix));
        object_changes changes;
        const auto has_change = [&] {
            for (const auto& [key, revision] : m_changed) {
                if (key.str().starts_with(prefix.str()) && revision > after) {
                    changes.changed.push_back({key, m_slots[key].now.version});
                }
            }
            return !changes.changed.empty();
        };
        m_change.wait_for(lock, timeout, has_change);
        changes.revision = m_revision;
        return changes;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_change;
    std::map<object_key, slot> m_slots;
    std::map<object_key, object_version> m_changed;
    object_version m_revision;
    store_faults m_faults;
    std::vector<delayed_write> m_delayed;
    unsigned m_writes = 0;
};

} // namespace parsleypitch
