#pragma once

#include "http_server.hpp"
#include "stop_signal.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <future>
#include <memory>
#include <type_traits>

namespace parsleypitch::standins {

/// @brief Base class of the stand-in servers: an HTTP server whose state is owned by the control thread of a
/// kernel.
class standin_server {
  public:
    standin_server() : m_kernel(1) {}
    virtual ~standin_server() = default;
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    standin_server(standin_server&&) = delete;
    standin_server& operator=(standin_server&&) = delete;

    /// @param port 0 lets the operating system choose
    /// @return `bind_failed` if the address cannot be used
    [[nodiscard]] result<void> start(int port = 0, const std::string& address = "127.0.0.1");
    [[nodiscard]] int port() const { return m_http.port(); }
    /// @brief Loopback address as `IP:PORT`, for tests.
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    /// @brief Closes all connections; the server cannot be started again.
    void stop();

    /// @brief Replaces the action of the fault `crash`, which exits the process immediately if this is empty.
    std::function<void()> on_crash;

  protected:
    virtual void add_routes(httplib::Server& routes) = 0;
    /// @brief Wakes request threads that wait for state changes; runs on the control thread.
    virtual void release_waits() {}

    [[nodiscard]] http_server& http() { return m_http; }
    [[nodiscard]] kernel& control() { return m_kernel; }
    [[nodiscard]] stop_signal& stopping() { return m_stopping; }
    [[nodiscard]] static time_point now() { return std::chrono::steady_clock::now(); }
    void crash();

    /// @brief Runs `task` on the control thread and returns its result; called on request threads.
    template <class Task>
    auto run_on_control(Task task) -> std::invoke_result_t<Task> {
        auto packaged = std::make_shared<std::packaged_task<std::invoke_result_t<Task>()>>(std::move(task));
        auto answer = packaged->get_future();
        m_kernel.post_control([packaged] { (*packaged)(); });
        return answer.get();
    }

  private:
    stop_signal m_stopping;
    http_server m_http;
    kernel m_kernel;
};

/// @brief Time of the steady clock in milliseconds; comparable between the processes of one machine.
[[nodiscard]] inline std::int64_t to_ms(time_point at) {
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace parsleypitch::standins
