#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace parsleypitch::soak {

/// @brief What the store does with calls of entry hosts.
enum class store_answers { normal, resets, silence, busy, rate_limited };

/// @brief Trouble of the store; writes of the operator and of engines are not concerned.
struct store_condition {
    store_answers answers = store_answers::normal;
    duration delay{};
    /// @brief Chance of a write to be done without an answer, at once or seconds later; at most 100.
    std::uint64_t lost_writes_percent = 0;
};

/// @brief Stand-in of the platform's store: objects with revisions, lists in pages, watches and conditional
/// writes over HTTP.
///
/// Everything happens on the thread of the context.
class store_stand_in {
  public:
    store_stand_in(asio::io_context& context, endpoint listen, random_hook random);
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;
    store_stand_in(store_stand_in&&) = delete;
    store_stand_in& operator=(store_stand_in&&) = delete;

    /// @return `bind_failed` with the endpoint
    [[nodiscard]] result<void> open();
    void set(const store_condition& condition);
    /// @brief Forgets the changes so far and cuts the watches, so that watchers have to list again.
    void forget_history();
    /// @brief Writes an object as the operator or an engine does.
    object_version put(std::string_view kind, const object_key& name, nlohmann::json spec);
    void remove(std::string_view kind, const object_key& name);
    /// @brief Calls of entry hosts so far.
    [[nodiscard]] std::uint64_t calls() const;
    void close();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::soak
