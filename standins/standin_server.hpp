#pragma once

#include "http_server.hpp"
#include "stop_signal.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <future>
#include <memory>
#include <type_traits>

namespace parsleypitch::standins {

/// @brief Common part of the stand-ins: an HTTP server whose state is owned by the control thread of a
/// kernel.
class standin_server {
  public:
    standin_server() : m_kernel(1) {}
    virtual ~standin_server() = default;
    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    standin_server(standin_server&&) = delete;
    standin_server& operator=(standin_server&&) = delete;

    /// @param port 0 lets the system choose
    /// @return `bind_failed` if the address cannot be used
    [[nodiscard]] result<void> start(int port = 0, const std::string& address = "127.0.0.1");
    [[nodiscard]] int port() const { return m_http.port(); }
    /// @brief `IP:PORT` on loopback, for tests.
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    /// @brief Ends all connections; a stand-in is not started again.
    void stop();

    /// @brief What the fault `crash` does; the default ends the process at once.
    std::function<void()> on_crash;

  protected:
    virtual void add_routes(httplib::Server& routes) = 0;
    /// @brief Ends the waits of request threads; runs on the control thread.
    virtual void release_waits() {}

    [[nodiscard]] http_server& http() { return m_http; }
    [[nodiscard]] kernel& control() { return m_kernel; }
    [[nodiscard]] stop_signal& stopping() { return m_stopping; }
    [[nodiscard]] static time_point now() { return std::chrono::steady_clock::now(); }
    void crash();

    /// @brief Runs `task` on the control thread and returns its result to a request thread.
    template <class Task>
    auto ask(Task task) -> std::invoke_result_t<Task> {
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

/// @brief Milliseconds of the steady clock, which all processes of a machine share.
[[nodiscard]] inline std::int64_t to_ms(time_point at) {
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

} // namespace parsleypitch::standins
