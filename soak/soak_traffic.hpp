#pragma once

#include "callers.hpp"
#include "engine_stand_in.hpp"
#include "soak_plan.hpp"
#include "store_stand_in.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <relay_link.hpp>

#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace parsleypitch::soak {

/// @brief Addresses of one run; hosts, their relays, the store and engines have separate loopback addresses.
class soak_network {
  public:
    explicit soak_network(unsigned number) : m_number(number) {}

    [[nodiscard]] std::string host_ip(std::size_t host) const;
    [[nodiscard]] endpoint host_callers(std::size_t host) const;
    [[nodiscard]] endpoint host_readiness(std::size_t host) const;
    [[nodiscard]] endpoint host_link(std::size_t host) const;
    [[nodiscard]] endpoint store() const;
    [[nodiscard]] endpoint store_link(std::size_t host) const;
    [[nodiscard]] endpoint engine(std::size_t engine) const;
    [[nodiscard]] endpoint engine_link(std::size_t engine) const;

  private:
    enum class group : unsigned { store, hosts, host_links, engines, count };

    [[nodiscard]] std::string ip(group which, std::size_t number) const;

    unsigned m_number;
};

[[nodiscard]] entry_host_id host_id(std::size_t host);
[[nodiscard]] availability_zone_id zone_of(std::size_t number);

inline const service_name soak_traffic_name("soak_traffic");

/// @brief The stand-ins, relays and callers of a run, on one traffic thread.
class soak_traffic : public service {
  public:
    explicit soak_traffic(const soak_plan& plan);
    ~soak_traffic() override;

    [[nodiscard]] service_name name() const override { return soak_traffic_name; }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief State owned by the traffic thread.
    struct testbed {
        explicit testbed(const soak_plan& plan);

        /// @brief Starts another engine, with a relay in front of it.
        /// @return `bind_failed`, with the endpoint in the detail, if an address cannot be used
        [[nodiscard]] result<void> add_engine(const backend_service_id& service,
                                              std::optional<engine_role> role);
        void note_duty(const http::request& call);
        /// @brief Writes the next configuration, in which the plain routes switch to the other service.
        void configure();

        asio::io_context context{1};
        soak_network network;
        random_hook random;
        observations observed;
        retained_kv_caches caches;
        store_stand_in store;
        std::vector<std::unique_ptr<bench::relay_link>> caller_links;
        std::vector<std::unique_ptr<bench::relay_link>> store_links;
        std::vector<std::unique_ptr<bench::relay_link>> engine_links;
        std::vector<std::unique_ptr<engine_stand_in>> engines;
        callers requests;
        std::uint64_t version = 0;
        duration plain_service_time;
        bool links_before_engines;
    };

    /// @brief Runs a task on the traffic thread.
    void post(std::function<void(testbed&)> task);
    /// @brief Runs a task on the traffic thread and waits for it; deadlocks if called on that thread.
    void run(const std::function<void(testbed&)>& task);

  private:
    soak_plan m_plan;
    std::unique_ptr<testbed> m_testbed;
    std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>> m_guard;
    std::thread m_thread;
};

} // namespace parsleypitch::soak
