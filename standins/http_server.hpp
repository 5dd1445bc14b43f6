#pragma once

#include <parsleypitch/core/result.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <thread>

namespace parsleypitch::standins {

/// @brief An HTTP server of cpp-httplib with a deep listen backlog and a fast stop.
class http_server {
  public:
    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief The server to which routes are added before `start`.
    [[nodiscard]] httplib::Server& routes() { return m_server; }
    /// @param port 0 lets the system choose
    /// @return `bind_failed` if the address cannot be used
    [[nodiscard]] result<void> start(const std::string& address, int port);
    [[nodiscard]] int port() const { return m_port; }
    /// @brief Ends all connections and waits for the handlers; called at most once after `start`.
    void stop();

    /// @brief Ends the connection of a request without an answer.
    void drop(const httplib::Request& request) const;
    /// @brief Writes bytes to the connection of a request ahead of its answer.
    void write_ahead(const httplib::Request& request, std::string_view bytes) const;

  private:
    httplib::Server m_server;
    socket_t m_listening = INVALID_SOCKET;
    int m_port = 0;
    std::thread m_thread;
};

/// @brief Answers with a JSON body.
void answer_json(httplib::Response& response, int status, const nlohmann::json& body);

} // namespace parsleypitch::standins
