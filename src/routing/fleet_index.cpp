#include <parsleypitch/routing/fleet_index.hpp>

namespace parsleypitch {

namespace {

void add(candidate_group& group, const member& m, std::uint32_t place) {
    group.zones[m.zone].push_back(place);
    group.all.push_back(place);
}

template <class Map, class Key>
const candidate_group* lookup(const Map& groups, const Key& key) {
    const auto found = groups.find(key);
    return found == groups.end() ? nullptr : &found->second;
}

} // namespace

fleet_index::fleet_index(std::shared_ptr<const fleet_view> view) : m_view(std::move(view)) {
    for (std::uint32_t place = 0; place < m_view->members.size(); ++place) {
        const member& m = m_view->members[place];
        if (m.kind == member_kind::entry_host || m.health != member_health::live || m.engine.changing) {
            continue;
        }
        if (m.kind == member_kind::engine) {
            add(m_engines[m.engine.model], m, place);
        } else {
            add(m_plain_services[m.plain_service], m, place);
        }
        m_places.emplace(m.id, place);
    }
}

const candidate_group* fleet_index::engines(const model_id& model) const {
    return lookup(m_engines, model);
}

const candidate_group* fleet_index::plain_services(const plain_service_id& service) const {
    return lookup(m_plain_services, service);
}

const member* fleet_index::find(const backend_server_id& id) const {
    const auto found = m_places.find(id.str());
    return found == m_places.end() ? nullptr : &m_view->members[found->second];
}

} // namespace parsleypitch
