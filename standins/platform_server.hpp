#pragma once

#include "host_list.hpp"
#include "object_state.hpp"
#include "rate_limit.hpp"
#include "service_state.hpp"
#include "standin_server.hpp"

#include <list>

namespace parsleypitch::standins {

struct platform_options {
    double writes_per_second = 400;
    double reads_per_second = 2000;
    milliseconds latency{2};
    milliseconds host_list_lag{3000};
    double weight_bytes_per_second = 10e9;
};

/// @brief HTTP server of the platform stand-in: object API, host list and weight store.
class platform_server final : public standin_server {
  public:
    explicit platform_server(platform_options options);
    ~platform_server() override;

  protected:
    void add_routes(httplib::Server& routes) override;
    void release_waits() override;

  private:
    enum class call { get, put, remove, list, watch, hosts, weights };
    struct faults {
        bool down = false;
        milliseconds extra_latency{0};
        std::uint64_t lose_answers = 0;
        std::uint64_t refuse = 0;
        std::uint64_t stale_reads = 0;
    };
    struct waiting_watch {
        std::string prefix;
        object_version after;
        std::promise<std::optional<object_changes>> answer;
    };
    using handler = std::function<void(const httplib::Request&, httplib::Response&)>;

    /// Applies rate limits, faults and latency before `inner`.
    [[nodiscard]] handler with_admission(call kind, handler inner);
    [[nodiscard]] int admit(call kind);
    [[nodiscard]] duration call_latency();
    void wake_watches();
    void get_object(const httplib::Request& request, httplib::Response& response);
    void put_object(const httplib::Request& request, httplib::Response& response);
    void remove_object(const httplib::Request& request, httplib::Response& response);
    void watch(const httplib::Request& request, httplib::Response& response);
    void close_if_answer_lost(const httplib::Request& request);
    void add_admin_routes(httplib::Server& routes);
    void set_faults(const nlohmann::json& body);
    [[nodiscard]] nlohmann::json truth() const;

    platform_options m_options;
    object_state m_objects;
    rate_limit m_writes;
    rate_limit m_reads;
    host_list m_hosts;
    booked_slots m_bookings;
    weight_store m_weights;
    faults m_faults;
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_rejected_rate = 0;
    std::uint64_t m_rejected_outage = 0;
    std::list<std::shared_ptr<waiting_watch>> m_watches;
};

} // namespace parsleypitch::standins
