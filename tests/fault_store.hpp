#pragma once

#include <parsleypitch/platform/object_store.hpp>

#include <deque>
#include <map>
#include <mutex>

namespace parsleypitch {

/// Store in memory that fails on request; all hooks are safe to call from several threads.
class fault_store {
  public:
    enum class fault { none, refuse, lose_before, lose_after, stale };

    [[nodiscard]] object_store hooks() {
        object_store store;
        store.get = [this](const object_key& key) { return get(key); };
        store.put = [this](const object_key& key, const std::string& bytes, object_version expected) {
            return put(key, bytes, expected);
        };
        store.watch = [this](const object_key& prefix, object_version after, milliseconds) {
            return watch(prefix, after);
        };
        return store;
    }

    /// Fails the next writes of `key`, one fault each.
    void fail_writes(const object_key& key, std::deque<fault> faults) {
        const std::lock_guard lock(m_mutex);
        m_write_faults[key] = std::move(faults);
    }
    void fail_reads(const object_key& key, std::deque<fault> faults) {
        const std::lock_guard lock(m_mutex);
        m_read_faults[key] = std::move(faults);
    }
    void set_down(bool down) {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }
    /// Runs once before the next write of `key`.
    void before_write(const object_key& key, std::function<void()> hook) { m_before[key] = std::move(hook); }
    void overwrite(const object_key& key, std::string bytes) {
        const std::lock_guard lock(m_mutex);
        store(key, std::move(bytes));
    }
    [[nodiscard]] std::size_t reads(const object_key& key) {
        const std::lock_guard lock(m_mutex);
        return m_reads[key];
    }
    [[nodiscard]] std::size_t largest() const { return m_largest; }

  private:
    static fault take(std::deque<fault>& faults) {
        if (faults.empty()) {
            return fault::none;
        }
        const fault next = faults.front();
        faults.pop_front();
        return next;
    }

    void store(const object_key& key, std::string bytes) {
        m_largest = std::max(m_largest, bytes.size());
        m_previous[key] = m_objects[key];
        m_objects[key] = {key, object_version(++m_revision), std::move(bytes)};
    }

    result<stored_object> get(const object_key& key) {
        const std::lock_guard lock(m_mutex);
        ++m_reads[key];
        const fault planned = take(m_read_faults[key]);
        if (m_down || planned == fault::refuse) {
            return fail(errc::platform_unreachable, "down");
        }
        const auto& source = planned == fault::stale ? m_previous : m_objects;
        const auto found = source.find(key);
        if (found == source.end() || found->second.version.value() == 0) {
            return fail(errc::object_not_found, key.str());
        }
        return found->second;
    }

    result<object_version> put(const object_key& key, const std::string& bytes, object_version expected) {
        if (auto hook = m_before.extract(key)) {
            hook.mapped()();
        }
        const std::lock_guard lock(m_mutex);
        const fault planned = take(m_write_faults[key]);
        if (m_down || planned == fault::refuse) {
            return fail(errc::platform_unreachable, "down");
        }
        if (planned == fault::lose_before) {
            return fail(errc::platform_answer_lost, "lost");
        }
        const auto found = m_objects.find(key);
        const object_version present = found == m_objects.end() ? object_version() : found->second.version;
        if (present != expected) {
            return fail(errc::version_conflict, key.str());
        }
        if (bytes.size() > static_cast<std::size_t>(max_object_size.value())) {
            return fail(errc::object_too_large, key.str());
        }
        store(key, bytes);
        if (planned == fault::lose_after) {
            return fail(errc::platform_answer_lost, "lost");
        }
        return object_version(m_revision);
    }

    /// Answers at once; the timeout passes in no time.
    result<object_changes> watch(const object_key& prefix, object_version after) {
        const std::lock_guard lock(m_mutex);
        if (m_down) {
            return fail(errc::platform_unreachable, "down");
        }
        object_changes changes{object_version(m_revision), {}};
        for (const auto& [key, object] : m_objects) {
            if (key.str().rfind(prefix.str(), 0) == 0 && object.version > after) {
                changes.changed.push_back({key, object.version});
            }
        }
        return changes;
    }

    std::mutex m_mutex;
    std::map<object_key, stored_object> m_objects;
    std::map<object_key, stored_object> m_previous;
    std::map<object_key, std::deque<fault>> m_write_faults;
    std::map<object_key, std::deque<fault>> m_read_faults;
    std::map<object_key, std::function<void()>> m_before;
    std::map<object_key, std::size_t> m_reads;
    std::uint64_t m_revision = 0;
    std::size_t m_largest = 0;
    bool m_down = false;
};

} // namespace parsleypitch
