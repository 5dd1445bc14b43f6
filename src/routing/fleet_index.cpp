#include <parsleypitch/routing/fleet_index.hpp>

namespace parsleypitch {

namespace {

void add(candidate_group& group, const member& m, std::uint32_t index) {
    group.zones[m.zone].push_back(index);
    group.all.push_back(index);
}

template <class Map, class Key>
const candidate_group* lookup(const Map& groups, const Key& key) {
    const auto found = groups.find(key);
    return found == groups.end() ? nullptr : &found->second;
}

} // namespace

fleet_index::fleet_index(std::shared_ptr<const fleet_view> view) : m_view(std::move(view)) {
    for (std::uint32_t index = 0; index < m_view->members.size(); ++index) {
        const member& m = m_view->members[index];
        if (m.kind == member_kind::entry_host || m.health != member_health::live || m.engine.changing) {
            continue;
        }
        if (m.kind == member_kind::engine) {
            add(m_engines[m.engine.model], m, index);
        } else {
            add(m_plain_services[m.plain_service], m, index);
        }
        m_index_by_id.emplace(m.id, index);
    }
}

const candidate_group* fleet_index::engines(const model_id& model) const {
    return lookup(m_engines, model);
}

const candidate_group* fleet_index::plain_services(const plain_service_id& service) const {
    return lookup(m_plain_services, service);
}

const member* fleet_index::find(const backend_server_id& id) const {
    const auto found = m_index_by_id.find(id.str());
    return found == m_index_by_id.end() ? nullptr : &m_view->members[found->second];
}

} // namespace parsleypitch
