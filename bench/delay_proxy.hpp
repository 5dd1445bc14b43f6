#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <memory>
#include <vector>

namespace parsleypitch::bench {

/// @brief One relayed connection direction between two zones.
struct zone_link {
    availability_zone_id from;
    availability_zone_id to;
    endpoint listen;
    endpoint target;
};

/// @brief TCP relays that add one-way delay between zones and can cut a zone off.
///
/// One thread of its own runs all relays.
class delay_proxy : public service {
  public:
    /// @param links relays to open at the start
    /// @param one_way time by which each direction is delayed
    delay_proxy(std::vector<zone_link> links, milliseconds one_way);
    ~delay_proxy() override;

    [[nodiscard]] service_name name() const override { return service_name("delay_proxy"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Closes the connections of all relays from or to `zone` and refuses new ones, or lets them pass
    /// again.
    void set_cut(const availability_zone_id& zone, bool cut);

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch::bench
