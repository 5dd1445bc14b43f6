#pragma once

#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

struct journal_options {
    journal_writer_options writer;
    wall_clock_hook wall_clock;
    clock_hook clock;
    /// @brief Waits between the attempts of the last write; called on the thread that drains.
    back_off_hook back_off;
    /// @brief Engines by role as this process sees them now; empty if unknown.
    std::function<engine_counts()> engines;
    /// @brief Time between two writes. A process that dies loses at most this much.
    seconds write_period{30};
    /// @brief Time between two folds, which empty the buffer.
    seconds fold_period{5};
    /// @brief Events that wait for a fold: 5 s at 2,000 requests/s with two retries each, and as much again.
    std::size_t buffer_limit = 65'536;
};

/// @brief Records what happened in this process; kernel service "journal".
///
/// Traffic threads append to a bounded buffer; a worker thread adds up and writes.
class journal_service final : public service, public std::enable_shared_from_this<journal_service> {
  public:
    explicit journal_service(journal_options options);

    [[nodiscard]] service_name name() const override { return service_name("journal"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief Records an event with the present time; safe for all threads. Drops and counts it if the buffer
    /// is full.
    void record(decltype(journal_event::what) what);

    /// @brief Adds up the buffered events and writes if a write is due; blocks. One call runs at a time,
    /// others return at once.
    void process_events();

  private:
    void fold();
    [[nodiscard]] result<void> write(bool final);

    journal_options m_options;
    std::mutex m_buffer_mutex;
    std::vector<journal_event> m_buffer;
    std::uint64_t m_lost = 0;
    /// Guards the writer; held during writes, never taken by traffic threads.
    std::mutex m_writer_mutex;
    journal_writer m_writer;
    time_point m_last_write;
    std::atomic<bool> m_stopped = false;
};

} // namespace parsleypitch
