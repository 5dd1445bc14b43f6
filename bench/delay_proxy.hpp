#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <memory>
#include <vector>

namespace parsleypitch::bench {

/// @brief Relay for connections from one zone to another.
struct zone_link {
    availability_zone_id from;
    availability_zone_id to;
    endpoint listen;
    endpoint target;
};

/// @brief TCP relays that add one-way delay between zones and can partition a zone.
///
/// All relays run on one dedicated thread.
class delay_proxy : public service {
  public:
    /// @param links relays that `start` opens
    /// @param one_way delay added in each direction
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
