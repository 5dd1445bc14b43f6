#pragma once

#include "service_state.hpp"
#include "standin_server.hpp"

namespace parsleypitch::standins {

struct service_options {
    std::string id;
    std::size_t slots = 8;
    std::size_t most_waiting = 200;
    std::map<operation_id, duration> operations;
    /// @brief Platform stand-in that keeps the bookings of all servers of the service; empty for one server.
    std::string bookings;
};

/// @brief Stand-in of a plain service.
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
        double slow = 1.0;
    };
    /// Nothing if the server stopped before the run ended.
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
