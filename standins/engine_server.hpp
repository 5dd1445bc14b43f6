#pragma once

#include "engine_model.hpp"
#include "standin_server.hpp"
#include "token_stream.hpp"

namespace parsleypitch::standins {

/// @brief HTTP server of the model engine stand-in; the control thread runs the step loop.
class engine_server final : public standin_server {
  public:
    explicit engine_server(engine_options options);
    ~engine_server() override;

  protected:
    void add_routes(httplib::Server& routes) override;
    void release_waits() override;

  private:
    struct faults {
        time_point hang_until;
        double slowdown = 1.0;
        std::uint64_t cross_answers = 0;
        std::uint64_t duplicate_tokens = 0;
        milliseconds late_load{0};
    };

    void wait_while_hung();
    void add_state_routes(httplib::Server& routes);
    void add_admin_routes(httplib::Server& routes);
    void generate(const httplib::Request& request, httplib::Response& response);
    void stream_answer(httplib::Response& response, sequence_number sequence);
    void receive_order(const httplib::Request& request, httplib::Response& response);
    void import_kv(const httplib::Request& request, httplib::Response& response);
    [[nodiscard]] bool ensure_imported(const generate_request& request);
    [[nodiscard]] std::optional<kv_block_count> transfer_kv(const request_id& id, const endpoint& source);
    [[nodiscard]] engine_order read_order(const nlohmann::json& body) const;
    void start_change(const engine_setup& from, const engine_setup& to);
    [[nodiscard]] duration change_duration(const engine_setup& from, const engine_setup& to);
    [[nodiscard]] duration weight_delay(const engine_setup& to) const;
    void step();
    void deliver(const std::vector<emission>& emissions);
    [[nodiscard]] request_id reported_id(const emission& token);
    void set_faults(const nlohmann::json& body);

    engine_model m_model;
    faults m_faults;
    bool m_stepping = false;
    std::map<sequence_number, std::shared_ptr<token_stream>> m_streams;
    std::set<request_id> m_imported;
    request_id m_previous_id;
};

} // namespace parsleypitch::standins
