#pragma once

#include "engine_types.hpp"

#include <vector>

namespace parsleypitch::standins {

/// @brief Command to change the setup of an engine.
struct engine_order {
    fencing_number fencing;
    order_id id;
    engine_setup setup;
};

/// @brief Result of an order.
enum class order_outcome { accepted, repeated, stale, busy };

/// @brief Record of a received order, for `/admin/truth`.
struct order_record {
    engine_order order;
    time_point at;
    order_outcome outcome = order_outcome::accepted;
    bool conflicted = false;   ///< another order was in progress
    bool stale_number = false; ///< a higher fencing number had been seen, whether or not it was checked
};

/// @brief Record of a change of setup; `ended` is empty while it is in progress.
struct setup_change {
    engine_setup from;
    engine_setup to;
    fencing_number fencing;
    time_point started;
    std::optional<time_point> ended;
    std::size_t cut_sequences = 0;
};

/// @brief Setup of an engine, the change in progress, and the orders that it received.
class order_state {
  public:
    order_state(engine_setup setup, bool checks_fencing);

    /// @brief Records an order and, if it is accepted and differs from the current setup, starts the change.
    [[nodiscard]] order_outcome receive(const engine_order& order, time_point now);
    /// @brief Completes the change in progress, if any, and adopts its setup.
    void complete(time_point now);
    /// @brief Adds to the number of sequences that the latest change terminated.
    void count_cut_sequences(std::size_t sequences);

    [[nodiscard]] bool changing() const { return m_in_progress.has_value(); }
    [[nodiscard]] const engine_setup& setup() const { return m_setup; }
    [[nodiscard]] fencing_number highest_fencing() const { return m_highest; }
    [[nodiscard]] const std::vector<order_record>& orders() const { return m_orders; }
    [[nodiscard]] const std::vector<setup_change>& changes() const { return m_changes; }

  private:
    [[nodiscard]] order_outcome evaluate(const engine_order& order) const;

    engine_setup m_setup;
    bool m_checks_fencing;
    fencing_number m_highest;
    std::optional<engine_order> m_in_progress;
    std::vector<order_record> m_orders;
    std::vector<setup_change> m_changes;
};

[[nodiscard]] std::string_view to_string(order_outcome outcome) noexcept;

} // namespace parsleypitch::standins
