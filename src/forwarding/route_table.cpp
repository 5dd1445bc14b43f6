#include <parsleypitch/forwarding/route_table.hpp>
#include <parsleypitch/http/message.hpp>

#include <algorithm>
#include <numeric>

namespace parsleypitch {

std::string_view to_string(request_kind kind) noexcept {
    switch (kind) {
    case request_kind::idempotent:
        return "idempotent";
    case request_kind::at_most_once:
        return "at_most_once";
    case request_kind::stream:
        return "stream";
    }
    return "unknown";
}

route_table::route_table(config_version version, std::vector<route> routes,
                         std::vector<backend_service> services, caller_limits limits,
                         std::shared_ptr<const account_table> accounts)
    : m_version(version), m_routes(std::move(routes)), m_limits(limits), m_accounts(std::move(accounts)) {
    std::stable_sort(m_routes.begin(), m_routes.end(), [](const route& a, const route& b) {
        return a.path_prefix.size() > b.path_prefix.size();
    });
    for (backend_service& each : services) {
        m_scales = m_scales || each.scaling;
        backend_service_id id = each.id;
        m_services.insert_or_assign(std::move(id), std::move(each));
    }
    for (const route& each : m_routes) {
        for (const weighted_service& to : each.services) {
            const auto [target, added] = m_targets[to.service].try_emplace(each.urgency, each.target_latency);
            target->second = std::min(target->second, each.target_latency);
        }
    }
}

duration route_table::shortest_target(const backend_service_id& service, unsigned urgency) const {
    duration shortest = duration::max();
    if (const auto targets = m_targets.find(service); targets != m_targets.end()) {
        for (const auto& [rank, target] : targets->second) {
            shortest = rank <= urgency ? std::min(shortest, target) : shortest;
        }
    }
    return shortest;
}

const route* route_table::match(std::string_view host, std::string_view path) const {
    const auto found = std::find_if(m_routes.begin(), m_routes.end(), [host, path](const route& each) {
        return path.starts_with(each.path_prefix) && http::equals_ignoring_case(each.host, host);
    });
    return found == m_routes.end() ? nullptr : &*found;
}

const backend_service* route_table::find(const backend_service_id& id) const {
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

std::map<backend_service_id, scaling_limits> route_table::scaling() const {
    std::map<backend_service_id, scaling_limits> limits;
    for (const auto& [id, service] : m_services) {
        if (service.scaling) {
            limits.emplace(id, *service.scaling);
        }
    }
    return limits;
}

const backend_service_id* draw_service(const route& of, const random_hook& random) {
    const std::uint64_t total =
        std::accumulate(of.services.begin(), of.services.end(), std::uint64_t{0},
                        [](std::uint64_t sum, const weighted_service& each) { return sum + each.weight; });
    if (total == 0) {
        return nullptr;
    }
    std::uint64_t drawn = of.services.size() == 1 ? 0 : random(total);
    for (const weighted_service& each : of.services) {
        if (drawn < each.weight) {
            return &each.service;
        }
        drawn -= each.weight;
    }
    return nullptr;
}

} // namespace parsleypitch
