#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace parsleypitch {

/// @brief Clock of the records, which several hosts read.
using wall_clock_hook = std::function<std::chrono::system_clock::time_point()>;

/// @brief Encodes a record: the causes and the Unix time in milliseconds at which the quarantine
/// ends.
[[nodiscard]] std::string encode_quarantine_record(const quarantined_causes& quarantined,
                                                   std::chrono::system_clock::time_point now);
/// @brief Decodes a record.
/// @return `malformed_document` if it is not one. The remaining time is zero if the quarantine has ended.
[[nodiscard]] result<quarantined_causes> decode_quarantine_record(const std::string& content,
                                                                  std::chrono::system_clock::time_point now);

/// @brief Keeps the quarantines in the store, for hosts that start when no other host is up.
///
/// The records are read at the start; running hosts tell each other. A record whose quarantine has ended
/// is removed by the host that reads it. After a restore of the store the records are read again, and the
/// missing ones are written again. Each host waits a random time before that, so that few write the same
/// record. The state is accessed only on the control thread.
class serving_quarantine final : public service, public std::enable_shared_from_this<serving_quarantine> {
  public:
    explicit serving_quarantine(wall_clock_hook clock, random_hook random = seeded_random_hook(random_seed()))
        : m_clock(std::move(clock)), m_random(std::move(random)) {}

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Reads the records. Called on the control thread once the store is open.
    void open(object_source records, std::function<object_handle(const object_key&)> record);
    /// @brief Writes a record, over one that ends earlier, until the store has it. Called on the control
    /// thread.
    void record(const quarantined_causes& quarantined);
    /// @brief Reads the records again and writes missing ones. Called on the control thread.
    void on_restored();

  private:
    void read(const object_key& after);
    void on_page(const object_key& after, const object_page& page);
    /// Adopts the records in force and removes those that have ended.
    void adopt(const std::vector<directory_object>& objects);
    /// Writes the quarantines in force on this host that the records read last lack.
    void write_missing();
    void write(const quarantined_causes& quarantined, const store_revision& expected);
    void on_written(const quarantined_causes& quarantined, const result<store_revision>& written);
    /// Replaces the record of an earlier quarantine of the same causes.
    void replace_earlier(const quarantined_causes& quarantined);
    void retry(std::function<void()> step);

    wall_clock_hook m_clock;
    random_hook m_random;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    object_source m_records;
    std::function<object_handle(const object_key&)> m_record;
    /// Names of the records read in the current or last reading.
    std::set<object_key> m_recorded;
    listed_size m_listed_size;
    /// Set while missing records have to be written after the current reading.
    bool m_write_missing = false;
    bool m_stopped = false;
};

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_quarantine_name();

} // namespace parsleypitch
