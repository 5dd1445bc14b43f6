#pragma once

#include <parsleypitch/core/result.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <thread>

namespace parsleypitch::standins {

/// @brief An HTTP server based on cpp-httplib, with a long listen backlog and a stop that closes open
/// connections.
class http_server {
  public:
    http_server();
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// @brief Underlying server; routes are added before `start`.
    [[nodiscard]] httplib::Server& routes() { return m_server; }
    /// @param port 0 lets the operating system choose
    /// @return `bind_failed` if the address cannot be used
    [[nodiscard]] result<void> start(const std::string& address, int port);
    [[nodiscard]] int port() const { return m_port; }
    /// @brief Closes all connections and waits for the handlers; later calls have no effect.
    void stop();

    /// @brief Closes the connection of a request without an answer.
    void close_connection(const httplib::Request& request) const;
    /// @brief Writes raw bytes to the connection of a request before its answer.
    void write_ahead(const httplib::Request& request, std::string_view bytes) const;

  private:
    httplib::Server m_server;
    socket_t m_listening = INVALID_SOCKET;
    int m_port = 0;
    std::thread m_thread;
};

/// @brief Sets status and JSON body of a response.
void answer_json(httplib::Response& response, int status, const nlohmann::json& body);

} // namespace parsleypitch::standins
