#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/http/message.hpp>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace parsleypitch::soak {

/// @brief How the store answers calls of entry hosts.
enum class store_response_mode { normal, resets, silence, busy, rate_limited };

/// @brief Faults of the store that affect entry hosts; in-process writes by the operator and engines succeed.
struct store_condition {
    store_response_mode mode = store_response_mode::normal;
    duration delay{};
    /// @brief Percentage of writes, at most 100, whose connection is closed without an answer; the write is
    /// applied immediately or up to 3 s later.
    std::uint64_t lost_writes_percent = 0;
};

/// @brief Stand-in for the platform's object store: revisioned objects, paged lists, watches and conditional
/// writes over HTTP.
///
/// All functions run on the thread of the context.
class store_stand_in {
  public:
    store_stand_in(asio::io_context& context, endpoint listen, random_hook random);
    ~store_stand_in();
    store_stand_in(const store_stand_in&) = delete;
    store_stand_in& operator=(const store_stand_in&) = delete;
    store_stand_in(store_stand_in&&) = delete;
    store_stand_in& operator=(store_stand_in&&) = delete;

    /// @return `bind_failed`, with the endpoint in the detail, if the address cannot be used
    [[nodiscard]] result<void> open();
    void set(const store_condition& condition);
    /// @brief Discards the change history and closes all watches, so that watchers have to list again.
    void discard_history();
    /// @brief Keeps a copy of the contents for a later restore.
    void make_copy();
    /// @brief Goes back to the last copy and begins a new era. What entry hosts wrote since the copy was made
    /// is lost; what the operator and the engines wrote is written again after a short time.
    void restore();
    /// @brief Writes an object without going through HTTP, unaffected by the current condition.
    object_version put(std::string_view kind, const object_key& name, nlohmann::json spec);
    void remove(std::string_view kind, const object_key& name);
    /// @brief Sets the hook that is told of calls to the service for duties, which the stand-in plays too.
    /// Every fifth of them gets no answer.
    void on_duty(std::function<void(const http::request&)> hook);
    /// @brief Number of calls received over HTTP.
    [[nodiscard]] std::uint64_t calls() const;
    void close();

  private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace parsleypitch::soak
