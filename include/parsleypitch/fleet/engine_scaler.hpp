#pragma once

#include <parsleypitch/fleet/backend_server_entry.hpp>
#include <parsleypitch/fleet/engine_demand.hpp>
#include <parsleypitch/fleet/scaling_limits.hpp>

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief Parameters of `engine_scaler`.
struct engine_scaler_policy {
    /// @brief Share of its time for which an engine should work.
    double target_utilisation = 0.6;
    /// @brief Time over which demand is averaged. It covers both phases of bursts that alternate every 2.8 s.
    duration demand_window{seconds(10)};
    /// @brief Excess of demand that raises nothing, in engines for the square root of their number. It is
    /// three times the standard deviation that prompts of 150 ms which arrive at random cause in the average.
    double tolerated_excess = 0.5;
    /// @brief How long demand has to be lower before one engine is given up.
    duration lower_delay{seconds(30)};
    /// @brief A host without an answer for this time makes the knowledge of the demand incomplete.
    duration answer_validity{seconds(5)};
    /// @brief How long a host that is no longer known counts as one without an answer: it may be cut off and
    /// still serve.
    duration departed_host_period{seconds(120)};
    duration repeat_period{seconds(10)};
    /// @brief Time until an order that failed is sent again; it doubles up to `repeat_period`.
    duration retry_delay{seconds(1)};
    /// @brief Orders sent at a time. The platform takes 50 calls a second from all hosts for all duties.
    std::size_t max_orders = 4;
};

/// @brief Why a number of engines was ordered.
enum class scaling_reason {
    taken_over, // the engines that exist when the holder changes
    demand,     // higher or lower demand
    limits,     // the limits of the configuration
};

[[nodiscard]] std::string_view to_string(scaling_reason reason) noexcept;

/// @brief A number of engines to order, with the inputs that decided it.
struct scaling_change {
    engine_site site;
    std::uint64_t desired = 0;
    scaling_reason reason = scaling_reason::taken_over;
    /// @brief Engines that exist and are not leaving.
    std::uint64_t existing = 0;
    /// @brief Seconds of engine time per second.
    double demand = 0;
    /// @brief Requests held at entry hosts for the service.
    std::uint64_t held = 0;
    /// @brief Hosts without an answer that is recent enough.
    std::uint64_t silent_hosts = 0;
    /// @brief The same number was ordered before.
    bool repeated = false;
};

/// @brief Engines of a site for the metrics.
struct site_engines {
    engine_site site;
    std::uint64_t wanted = 0;
    std::uint64_t existing = 0;
};

/// @brief Decides how many engines each service with scaling limits needs in each zone.
///
/// Lives for one term of the lease holder. The number starts from the engines that exist. For the boot time
/// after that it is only raised, because engines that the holder before has ordered may still be starting.
/// Known demand is a lower bound of the true one, so that it may raise a number while hosts are silent, but
/// not lower it. A zone is considered once it has had an engine of the service in this term.
class engine_scaler {
  public:
    explicit engine_scaler(engine_scaler_policy policy) : m_policy(policy) {}

    /// @brief Sets the services to scale. Numbers outside of changed limits are corrected at once.
    void set_limits(std::map<backend_service_id, scaling_limits> limits);
    /// @brief Updates the engines that exist. Nothing is decided before the first call.
    void observe(const std::vector<backend_server_entry>& engines, time_point now);
    /// @brief Sets the hosts whose demand counts and the time in which each of them is asked once.
    void set_hosts(const std::vector<endpoint>& hosts, duration round, time_point now);
    /// @brief Adds an answer of a host.
    void note(const endpoint& host, const engine_demand& answer, time_point now);

    /// @brief Decides anew and returns the orders to send now. Each of them is in progress until
    /// `note_result`.
    [[nodiscard]] std::vector<scaling_change> decide(time_point now);
    /// @brief Records how an order ended.
    void note_result(const engine_site& site, bool accepted, time_point now);

    [[nodiscard]] std::vector<site_engines> engines() const;

  private:
    struct host_state {
        incarnation born;
        /// Answers of the last `demand_window`, the latest last.
        std::deque<engine_demand> answers;
        time_point answered_at;
        /// When the host was last among the known ones.
        time_point listed_at;
    };
    struct site_state {
        time_point known_since;
        std::uint64_t existing = 0;
        /// Most engines seen while engines ordered by the holder before may still be starting.
        std::uint64_t most_existing = 0;
        std::optional<std::uint64_t> wanted;
        scaling_reason reason = scaling_reason::taken_over;
        /// The number was changed in this term, so it is known to be the one to order.
        bool decided = false;
        std::optional<time_point> raised_at;
        std::optional<time_point> lower_since;
        std::optional<std::uint64_t> ordered;
        time_point next_order;
        unsigned failures = 0;
        bool in_progress = false;
    };
    /// What is known of the demand at one moment.
    struct demand_view {
        std::map<engine_site, double> demand;
        std::map<backend_service_id, std::uint64_t> held;
        std::uint64_t silent_hosts = 0;
    };

    [[nodiscard]] demand_view view(time_point now) const;
    /// Adds the demand that the answers of a host show.
    void add_demand(const host_state& host, time_point now, demand_view& known) const;
    void decide_site(const engine_site& site, site_state& state, const scaling_limits& limits,
                     const demand_view& known, time_point now) const;
    void lower(site_state& state, const scaling_limits& limits, bool lower_demand, time_point now) const;
    [[nodiscard]] static bool is_due(const site_state& state, const scaling_limits& limits, time_point now);

    engine_scaler_policy m_policy;
    std::map<backend_service_id, scaling_limits> m_limits;
    std::map<engine_site, site_state> m_sites;
    std::map<endpoint, host_state> m_hosts;
    duration m_round{0};
    bool m_fleet_known = false;
};

} // namespace parsleypitch
