#include <parsleypitch/core/buffer_budget.hpp>

#include <algorithm>
#include <utility>

namespace parsleypitch {

struct buffer_budget::state {
    struct user {
        std::int64_t size = 0;
        std::function<void()> revoked;
    };

    /// Sets the size of a user that may have given up its buffer already.
    void resize(std::uint64_t id, std::int64_t size) {
        if (const auto found = users.find(id); found != users.end()) {
            used += size - std::exchange(found->second.size, size);
        }
    }
    /// Makes the user with the most bytes give its buffer up.
    void revoke_largest() {
        const auto largest = std::max_element(users.begin(), users.end(), [](const auto& a, const auto& b) {
            return a.second.size < b.second.size;
        });
        used -= largest->second.size;
        const auto revoked = std::move(largest->second.revoked);
        users.erase(largest);
        revoked();
    }

    std::int64_t limit = 0;
    std::int64_t used = 0;
    std::uint64_t last_id = 0;
    std::map<std::uint64_t, user> users;
};

buffer_budget::share& buffer_budget::share::operator=(share&& other) noexcept {
    std::swap(m_owner, other.m_owner);
    std::swap(m_id, other.m_id);
    return *this;
}

buffer_budget::share::~share() {
    if (m_owner) {
        m_owner->resize(m_id, 0);
        m_owner->users.erase(m_id);
    }
}

bool buffer_budget::share::set(byte_count size) {
    // The hooks may destroy this share.
    const std::shared_ptr<state> owner = m_owner;
    const std::uint64_t id = m_id;
    owner->resize(id, size.value());
    while (owner->used > owner->limit) {
        owner->revoke_largest();
    }
    return owner->users.contains(id);
}

buffer_budget::buffer_budget(byte_count limit) : m_state(std::make_shared<state>()) {
    m_state->limit = limit.value();
}

buffer_budget::share buffer_budget::open(std::function<void()> revoked) {
    const std::uint64_t id = ++m_state->last_id;
    m_state->users[id].revoked = std::move(revoked);
    return {m_state, id};
}

byte_count buffer_budget::used() const noexcept {
    return byte_count(m_state->used);
}

} // namespace parsleypitch
