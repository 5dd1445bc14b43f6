#pragma once

#include <parsleypitch/http/client.hpp>
#include <parsleypitch/http/server.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace parsleypitch {

/// @brief Calls between entry hosts over HTTP, for what does not fit into a work report or must be answered.
///
/// All hosts listen on the same port. Handlers and callbacks run on the control thread, on which all methods
/// are called.
class peer_calls final : public service {
  public:
    /// @param own address on which this host answers; empty if it neither answers nor calls
    explicit peer_calls(endpoint own) : m_own(std::move(own)) {}

    /// @brief Answers a call; an empty result is answered with 404.
    using handler = std::function<std::optional<std::string>(const std::string& body)>;

    [[nodiscard]] service_name name() const override;
    /// @return `bind_failed` if the address can't be bound
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Sets the handler of a path. Must be called before the process serves requests.
    void on_call(const std::string& path, handler answer) { m_handlers[path] = std::move(answer); }
    /// @brief Calls a path of another host and calls back exactly once.
    /// @param peer address at which the host receives work reports
    /// @return to the callback: the body of the answer, or `object_not_found`, `backend_failed` (another
    /// status) or the error of the connection
    void call(const endpoint& peer, const std::string& path, const std::string& body, duration timeout,
              std::function<void(result<std::string>)> done);
    /// @brief Whether this host answers and makes calls.
    [[nodiscard]] bool enabled() const noexcept { return !m_own.empty(); }

  private:
    void answer(const std::shared_ptr<http::exchange>& exchange) const;

    endpoint m_own;
    std::map<std::string, handler> m_handlers;
    kernel* m_kernel = nullptr;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<http::client> m_client;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name peer_calls_name();

} // namespace parsleypitch
