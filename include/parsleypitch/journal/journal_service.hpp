#pragma once

#include <parsleypitch/journal/journal_writer.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace parsleypitch {

/// @brief Settings and dependencies of the journal service.
struct journal_options {
    journal_writer_options writer;
    wall_clock_hook wall_clock;
    clock_hook clock;
    /// @brief Waits between attempts of the final write; called on the thread that calls `drain`.
    back_off_hook back_off;
    /// @brief Returns the current number of engines by role as known to this process; may be empty.
    std::function<engine_counts()> engines;
    /// @brief Time between two writes. A crash loses at most the events of this period.
    seconds write_period{30};
    /// @brief Time between two aggregations, each of which empties the buffer.
    seconds aggregation_period{5};
    /// @brief Maximum number of buffered events. Enough for 5 s at 2,000 requests/s with two retries each,
    /// with a factor of two in reserve.
    std::size_t buffer_limit = 65'536;
};

/// @brief Records the events of this process and writes daily roll-ups; kernel service "journal".
///
/// Traffic threads append events to a bounded buffer; a worker thread aggregates them and writes to the
/// store.
class journal_service final : public service, public std::enable_shared_from_this<journal_service> {
  public:
    explicit journal_service(journal_options options);

    [[nodiscard]] service_name name() const override { return service_name("journal"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief Records an event with the current time. Thread-safe. If the buffer is full, the event is
    /// dropped and counted.
    void record(decltype(journal_event::what) what);

    /// @brief Aggregates the buffered events, and writes the roll-ups if `write_period` has passed. Blocks
    /// during the write. A call returns immediately while another one is running.
    void process_events();

  private:
    void aggregate();
    [[nodiscard]] result<void> write(bool final);

    journal_options m_options;
    std::mutex m_buffer_mutex;
    std::vector<journal_event> m_buffer;
    std::uint64_t m_dropped_events = 0;
    /// Guards the writer. Held during writes, so traffic threads must not lock it.
    std::mutex m_writer_mutex;
    journal_writer m_writer;
    time_point m_last_write;
    std::atomic<bool> m_stopped = false;
};

} // namespace parsleypitch
