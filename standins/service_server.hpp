#pragma once

#include "service_state.hpp"
#include "standin_server.hpp"

namespace parsleypitch::standins {

struct service_options {
    std::string id;
    std::size_t slots = 8;
    std::size_t max_waiting = 200;
    std::map<operation_id, duration> operations;
    /// @brief Address of the platform stand-in that stores the bookings shared by all servers of the service;
    /// empty to keep them in this server.
    std::string bookings;
};

/// @brief HTTP server of the plain service stand-in.
class service_server final : public standin_server {
  public:
    explicit service_server(service_options options);
    ~service_server() override;

  protected:
    void add_routes(httplib::Server& routes) override;
    void release_waits() override;

  private:
    struct faults {
        time_point hang_until;
        std::uint64_t lose_answers = 0;
        std::uint64_t duplicate_answers = 0;
        double slowdown = 1.0;
    };
    /// Holds an empty optional if the server stopped before the run ended.
    using answer_promise = std::promise<std::optional<service_answer>>;

    void wait_while_hung();
    void call(const httplib::Request& request, httplib::Response& response);
    void answer_call(const httplib::Request& request, httplib::Response& response,
                     const nlohmann::json& body);
    void start_runs();
    void finish_run(const started_run& run);
    void set_faults(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json truth() const;

    service_options m_options;
    service_state m_state;
    faults m_faults;
    std::map<std::uint64_t, std::shared_ptr<answer_promise>> m_answers;
};

} // namespace parsleypitch::standins
