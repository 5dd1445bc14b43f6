#include <parsleypitch/environment/environment_diff.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace parsleypitch {

namespace detail {

template <class Spec>
auto index_by_id(const std::vector<Spec>& list) {
    std::map<decltype(Spec::id), const Spec*> index;
    for (const Spec& spec : list) {
        index.emplace(spec.id, &spec);
    }
    return index;
}

/// Calls `on_change(kind, before, after)` for each spec that differs, sorted by id. A spec that was added or
/// removed is compared with an empty one.
template <class Spec, class OnChange>
void compare(const std::vector<Spec>& before, const std::vector<Spec>& after, OnChange on_change) {
    const auto old_specs = index_by_id(before);
    const auto new_specs = index_by_id(after);
    auto ids = std::set<decltype(Spec::id)>();
    for (const auto& [id, spec] : old_specs) {
        ids.insert(id);
    }
    for (const auto& [id, spec] : new_specs) {
        ids.insert(id);
    }
    for (const auto& id : ids) {
        const auto old_spec = old_specs.find(id);
        const auto new_spec = new_specs.find(id);
        if (old_spec == old_specs.end()) {
            on_change(change_kind::added, Spec{}, *new_spec->second);
        } else if (new_spec == new_specs.end()) {
            on_change(change_kind::removed, *old_spec->second, Spec{});
        } else if (!(*old_spec->second == *new_spec->second)) {
            on_change(change_kind::changed, *old_spec->second, *new_spec->second);
        }
    }
}

template <class Change, class Spec>
std::vector<Change> changes_of(const std::vector<Spec>& before, const std::vector<Spec>& after) {
    std::vector<Change> changes;
    compare(before, after, [&changes](change_kind kind, const Spec& old_spec, const Spec& new_spec) {
        changes.push_back({kind, old_spec, new_spec});
    });
    return changes;
}

/// Returns the adapters that are in `list` but not in `excluded`, sorted.
std::vector<adapter_id> difference(const std::vector<adapter_id>& list,
                                   const std::vector<adapter_id>& excluded) {
    const std::set<adapter_id> a(list.begin(), list.end());
    const std::set<adapter_id> b(excluded.begin(), excluded.end());
    std::vector<adapter_id> remaining;
    std::set_difference(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(remaining));
    return remaining;
}

std::set<backend_server_id> engines_with_model(const environment& value, const model_id& model) {
    std::set<backend_server_id> engines;
    for (const backend_server_spec& server : value.backend_servers) {
        if (server.model == model) {
            engines.insert(server.id);
        }
    }
    return engines;
}

/// Compares two environments and collects the affected engines.
class environment_comparison {
  public:
    environment_comparison(const environment& before, const environment& after)
        : m_before(before), m_after(after) {}

    environment_diff run(const live_streams_hook& live_streams) {
        m_diff.name_before = m_before.name;
        m_diff.name_after = m_after.name;
        compare_ranks();
        m_diff.zones = changes_of<zone_change>(m_before.zones, m_after.zones);
        compare_models();
        compare_plain_services();
        compare_backend_servers();
        m_diff.accounts = changes_of<account_change>(m_before.accounts, m_after.accounts);
        m_diff.engines_affected = m_affected_engines.size();
        count_streams(live_streams);
        return std::move(m_diff);
    }

  private:
    void compare_ranks() {
        for (const rank r : all_ranks) {
            const rank_policy& before = m_before.ranks[index_of(r)];
            const rank_policy& after = m_after.ranks[index_of(r)];
            if (!(before == after)) {
                m_diff.ranks.push_back({r, before, after});
            }
        }
    }

    void compare_models() {
        compare(m_before.models, m_after.models,
                [this](change_kind kind, const model_spec& before, const model_spec& after) {
                    const model_id& id = kind == change_kind::added ? after.id : before.id;
                    std::set<backend_server_id> engines = engines_with_model(m_before, id);
                    engines.merge(engines_with_model(m_after, id));
                    m_diff.models.push_back({kind, id, before.version, after.version,
                                             difference(after.adapters, before.adapters),
                                             difference(before.adapters, after.adapters), engines.size()});
                    m_affected_engines.merge(engines);
                });
    }

    void compare_plain_services() {
        compare(m_before.plain_services, m_after.plain_services,
                [this](change_kind kind, const plain_service_spec& before, const plain_service_spec& after) {
                    m_diff.plain_services.push_back(
                        {kind, kind == change_kind::added ? after.id : before.id,
                         changes_of<operation_change>(before.operations, after.operations)});
                });
    }

    void compare_backend_servers() {
        auto& changes = m_diff.backend_servers;
        changes = changes_of<backend_server_change>(m_before.backend_servers, m_after.backend_servers);
        std::stable_sort(changes.begin(), changes.end(),
                         [](const auto& a, const auto& b) { return zone_of(a) < zone_of(b); });
        for (const backend_server_change& change : changes) {
            if (!change.before.model.empty() || !change.after.model.empty()) {
                m_affected_engines.insert(change.kind == change_kind::added ? change.after.id
                                                                            : change.before.id);
            }
        }
    }

    static const availability_zone_id& zone_of(const backend_server_change& change) {
        return change.kind == change_kind::removed ? change.before.zone : change.after.zone;
    }

    /// Leaves the total unknown if the count of one engine is unknown.
    void count_streams(const live_streams_hook& live_streams) {
        if (!live_streams) {
            return;
        }
        request_count total;
        for (const backend_server_id& engine : m_affected_engines) {
            const auto count = live_streams(engine);
            if (!count) {
                return;
            }
            total += *count;
        }
        m_diff.live_streams_affected = total;
    }

    const environment& m_before;
    const environment& m_after;
    environment_diff m_diff;
    std::set<backend_server_id> m_affected_engines;
};

} // namespace detail

bool environment_diff::empty() const {
    return name_before == name_after && ranks.empty() && zones.empty() && models.empty() &&
           plain_services.empty() && backend_servers.empty() && accounts.empty();
}

environment_diff diff_environments(const environment& before, const environment& after,
                                   const live_streams_hook& live_streams) {
    return detail::environment_comparison(before, after).run(live_streams);
}

std::string_view to_string(change_kind kind) noexcept {
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        break;
    }
    return "changed";
}

} // namespace parsleypitch
