#include <parsleypitch/planner/planner_service.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

template <class Spec, class Id>
const Spec* find_by_id(const std::vector<Spec>& specs, const Id& id) {
    const auto found =
        std::find_if(specs.begin(), specs.end(), [&id](const Spec& spec) { return spec.id == id; });
    return found == specs.end() ? nullptr : &*found;
}

engine_report report_of(const member& record, const environment& wanted, const backend_server_spec& spec) {
    engine_report report;
    report.id = spec.id;
    report.state = record.engine;
    report.health = record.health;
    report.running = record.load.running;
    // The report is as old as the measurement or the heartbeat that carried it, whichever is older.
    report.measured_at = std::min(record.last_heartbeat, record.load.measured_at);
    if (const auto* model = find_by_id(wanted.models, spec.model)) {
        report.wanted = wanted_model{model->id, model->version, model->adapters};
    }
    return report;
}

} // namespace detail

planner_input make_planner_input(const fleet_view& view, const environment& wanted,
                                 const availability_zone_id& zone) {
    planner_input input;
    for (const member& record : view.members) {
        if (record.zone != zone) {
            continue;
        }
        if (record.kind == member_kind::entry_host) {
            input.demand.push_back({entry_host_id(record.id), record.demand, record.last_heartbeat});
            continue;
        }
        // Engines that the environment document does not list are withdrawn and left out.
        const auto* spec = detail::find_by_id(wanted.backend_servers, backend_server_id(record.id));
        if (record.kind == member_kind::engine && spec != nullptr) {
            input.engines.push_back(detail::report_of(record, wanted, *spec));
        }
    }
    return input;
}

} // namespace parsleypitch
