#include "delay_proxy.hpp"

#include "relay_link.hpp"

#include <asio.hpp>

#include <set>
#include <thread>

namespace parsleypitch::bench {

struct delay_proxy::state {
    /// A relay and the zones that it connects.
    struct link {
        link(asio::io_context& io, zone_link from)
            : spec(std::move(from)), relay(io, spec.listen, spec.target) {}
        zone_link spec;
        relay_link relay;
    };

    [[nodiscard]] link_condition condition_of(const zone_link& asked) const {
        link_condition condition;
        condition.delay = delay;
        condition.refuses = cut_zones.count(asked.from) > 0 || cut_zones.count(asked.to) > 0;
        return condition;
    }

    asio::io_context io;
    duration delay{};
    std::vector<std::unique_ptr<link>> links;
    std::set<availability_zone_id> cut_zones;
    std::thread runner;
};

delay_proxy::delay_proxy(std::vector<zone_link> links, milliseconds one_way)
    : m_state(std::make_unique<state>()) {
    m_state->delay = one_way;
    for (zone_link& each : links) {
        m_state->links.push_back(std::make_unique<state::link>(m_state->io, std::move(each)));
    }
}

delay_proxy::~delay_proxy() {
    stop();
}

result<void> delay_proxy::start(kernel& /*host*/) {
    for (const auto& link : m_state->links) {
        link->relay.set(m_state->condition_of(link->spec));
        BOOST_OUTCOME_TRY(link->relay.open());
    }
    m_state->runner = std::thread([this] { m_state->io.run(); });
    return success();
}

void delay_proxy::stop() {
    if (!m_state->runner.joinable()) {
        return;
    }
    asio::post(m_state->io, [this] {
        for (const auto& link : m_state->links) {
            link->relay.close();
        }
    });
    m_state->runner.join();
}

void delay_proxy::set_cut(const availability_zone_id& zone, bool cut) {
    asio::post(m_state->io, [this, zone, cut] {
        if (cut) {
            m_state->cut_zones.insert(zone);
        } else {
            m_state->cut_zones.erase(zone);
        }
        for (const auto& link : m_state->links) {
            if (link->spec.from == zone || link->spec.to == zone) {
                link->relay.set(m_state->condition_of(link->spec));
            }
        }
    });
}

} // namespace parsleypitch::bench
