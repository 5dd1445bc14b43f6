#pragma once

#include "call.hpp"
#include "fleet_documents.hpp"

#include <parsleypitch/kernel/kernel.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace parsleypitch::bench {

/// @brief Counts of calls so far, for progress lines.
struct load_progress {
    std::size_t scheduled = 0;
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::array<std::size_t, rank_count> in_target{};
};

/// @brief Sends a schedule of requests to the entry hosts from a bounded pool of threads.
///
/// The load is open-loop: send times do not depend on earlier answers. If all threads are busy, a
/// request is sent late, and its latency is still measured from the scheduled time.
class load : public service {
  public:
    /// @param spec targets of the ranks and the number of client threads
    /// @param arrivals the schedule in the order of its times
    load(fleet_spec spec, std::vector<arrival> arrivals);
    ~load() override;

    [[nodiscard]] service_name name() const override { return service_name("load"); }
    /// @brief Finds the service `fleet` and starts the client threads.
    [[nodiscard]] result<void> start(kernel& host) override;
    /// @brief Stops sending and waits for open requests.
    void drain() override;
    void stop() override;

    [[nodiscard]] bool finished() const noexcept { return m_active == 0; }
    [[nodiscard]] load_progress progress() const;
    /// @brief Time at which the first scheduled second begins.
    [[nodiscard]] time_point origin() const noexcept { return m_origin; }
    [[nodiscard]] const std::vector<arrival>& arrivals() const noexcept { return m_arrivals; }
    /// @brief Records of all requests that were sent; called after the threads ended.
    [[nodiscard]] std::vector<call_record> records() const;

  private:
    class client;

    void run_client();
    /// @return whether `at` was reached before the load was stopped
    bool wait_until(time_point at);
    void count(const call_record& record, const arrival& sent);

    fleet_spec m_spec;
    std::vector<arrival> m_arrivals;
    std::vector<call_record> m_records;
    std::vector<char> m_sent_flags;
    std::vector<endpoint> m_entries;
    time_point m_origin;
    std::vector<std::thread> m_threads;
    std::atomic<std::size_t> m_next = 0;
    std::atomic<std::size_t> m_active = 0;
    std::array<std::atomic<std::size_t>, 4> m_ends{};
    std::array<std::atomic<std::size_t>, rank_count> m_in_target{};
    std::mutex m_mutex;
    std::condition_variable m_stop_changed;
    bool m_stopping = false;
};

} // namespace parsleypitch::bench
