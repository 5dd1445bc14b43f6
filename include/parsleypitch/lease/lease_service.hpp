#pragma once

#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/platform/object_store.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace parsleypitch {

/// @brief Hooks and periods of `lease_service`; the on_* hooks run on the control thread.
struct lease_service_options {
    object_store store;
    /// @brief Key of the lease object; see `lease_key`.
    object_key key;
    /// @brief Identity of this process in the lease object.
    lease_holder self;
    clock_hook clock;
    /// @brief Waits between two attempts of one write; called on a worker thread.
    back_off_hook back_off;
    /// @brief Whether this process tries to acquire the lease. Only few processes should, because every
    /// candidate polls the object store.
    std::function<bool()> is_candidate = [] { return true; };
    /// @brief Called with the fencing number when a new term begins.
    std::function<void(fencing_number)> on_acquired = [](fencing_number) {};
    /// @brief Called when the term ends.
    std::function<void()> on_lost = [] {};
    /// @brief Period at which the control thread runs the state machine.
    milliseconds check_period{100};
    /// @brief Period at which a candidate reads the lease object, and the delay after a failed write.
    milliseconds read_period{1000};
};

/// @brief Acquires and renews one lease in the object store, which elects the leader among the candidates.
///
/// The control thread owns the state; calls of the store run on worker threads, at most one at a time.
class lease_service final : public service, public std::enable_shared_from_this<lease_service> {
  public:
    explicit lease_service(lease_service_options options);

    [[nodiscard]] service_name name() const override { return service_name("authority"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Returns the fencing number of the valid term. Call it on the control thread only.
    /// @return `lease_not_held` if this process may not act under the lease
    [[nodiscard]] result<fencing_number> current(time_point now) const;
    /// @brief Returns the highest term seen in the store or held. Call it on the control thread only.
    [[nodiscard]] fencing_number highest_seen() const { return m_state.highest_seen(); }

  private:
    void check();
    void notify_change(time_point now);
    void start_read(time_point now);
    void start_write(time_point now);
    void finish_read(const result<stored_lease>& read);
    void finish_write(const lease_proposal& proposal, const result<applied_write>& written,
                      time_point sent_at);
    void run_on_worker(std::function<std::function<void(lease_service&)>()> call);

    lease_service_options m_options;
    conditional_writer m_writer;
    lease_state m_state;
    kernel* m_kernel = nullptr;
    std::optional<fencing_number> m_notified_term;
    std::optional<time_point> m_next_read;
    std::optional<time_point> m_next_write;
    std::uint64_t m_write_sequence = 0;
    bool m_call_in_progress = false;
    bool m_stopped = false;
};

} // namespace parsleypitch
