#pragma once

#include "memory_object_store.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace parsleypitch {

/// A `memory_object_store` whose faults are set for each key, one for each call. Not thread-safe.
class faulty_object_store {
  public:
    enum class fault { none, refuse, lose_write, lose_answer, stale };

    [[nodiscard]] object_store hooks() {
        object_store store = m_memory.hooks();
        store.get = [this, get = store.get](const object_key& key) -> result<stored_object> {
            ++m_reads[key];
            const fault injected = take_next(m_read_faults[key]);
            auto current = get(key);
            if (injected == fault::stale) {
                return m_previous.at(key);
            }
            if (m_down) {
                return fail(errc::platform_unreachable, "down");
            }
            return current;
        };
        store.put = [this, get = store.get, put = store.put](const object_key& key, const std::string& bytes,
                                                             object_version expected) {
            return faulty_put(get, put, key, bytes, expected);
        };
        // Watches don't wait, so that tests run fast.
        store.watch = [this, watch = store.watch](const object_key& prefix, object_version after,
                                                  milliseconds) -> result<object_changes> {
            if (m_down) {
                return fail(errc::platform_unreachable, "down");
            }
            return watch(prefix, after, milliseconds(0));
        };
        return store;
    }

    /// Sets the faults of the next writes of `key`, one for each write.
    void fail_writes(const object_key& key, std::deque<fault> faults) {
        m_write_faults[key] = std::move(faults);
    }
    /// Sets the faults of the next reads of `key`, one for each read.
    void fail_reads(const object_key& key, std::deque<fault> faults) {
        m_read_faults[key] = std::move(faults);
    }
    void set_down(bool down) { m_down = down; }
    /// Sets a function that runs once before the next write of `key`.
    void before_write(const object_key& key, std::function<void()> hook) { m_before[key] = std::move(hook); }
    void overwrite(const object_key& key, const std::string& bytes) {
        const object_store store = m_memory.hooks();
        EXPECT_TRUE(store.put(key, bytes, store.get(key).value().version));
    }
    [[nodiscard]] std::size_t reads(const object_key& key) { return m_reads[key]; }
    /// Size of the largest object that was written, in bytes.
    [[nodiscard]] std::size_t largest_write() const { return m_largest_write; }

  private:
    static fault take_next(std::deque<fault>& faults) {
        if (faults.empty()) {
            return fault::none;
        }
        const fault next = faults.front();
        faults.pop_front();
        return next;
    }

    template <class Get, class Put>
    result<object_version> faulty_put(const Get& get, const Put& put, const object_key& key,
                                      const std::string& bytes, object_version expected) {
        if (auto hook = m_before.extract(key)) {
            hook.mapped()();
        }
        const fault injected = take_next(m_write_faults[key]);
        if (m_down || injected == fault::refuse) {
            return fail(errc::platform_unreachable, "down");
        }
        if (injected == fault::lose_write) {
            return fail(errc::platform_answer_lost, "lost");
        }
        const auto current = get(key);
        auto written = put(key, bytes, expected);
        if (written) {
            m_previous.insert_or_assign(key, current);
            m_largest_write = std::max(m_largest_write, bytes.size());
        }
        if (written && injected == fault::lose_answer) {
            return fail(errc::platform_answer_lost, "lost");
        }
        return written;
    }

    memory_object_store m_memory;
    std::map<object_key, result<stored_object>> m_previous;
    std::map<object_key, std::deque<fault>> m_write_faults;
    std::map<object_key, std::deque<fault>> m_read_faults;
    std::map<object_key, std::function<void()>> m_before;
    std::map<object_key, std::size_t> m_reads;
    std::size_t m_largest_write = 0;
    bool m_down = false;
};

} // namespace parsleypitch
