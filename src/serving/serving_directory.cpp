#include <parsleypitch/serving/serving_directory.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

/// Part of the contact time that is left for the answer to a watch and for a new connection.
constexpr milliseconds watch_reserve{1000};
constexpr milliseconds settings_check_period{1000};
/// Part of the time within which a change has to be known that may pass while changes are collected.
constexpr int collect_part = 4;

const std::string servers_kind = "backend_servers";
const std::string configurations_kind = "configurations";

} // namespace

serving_directory::serving_directory(serve_settings settings, platform_adapter adapter)
    : m_settings(std::move(settings)), m_adapter(std::move(adapter)) {
}

service_name serving_directory::name() const {
    return serving_directory_name();
}

result<void> serving_directory::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    BOOST_OUTCOME_TRY(roles, host.find<serving_roles>(serving_roles_name()));
    BOOST_OUTCOME_TRY(peers, host.find<serving_peers>(serving_peers_name()));
    m_kernel = &host;
    m_log = log;
    m_traffic = traffic;
    m_roles = roles;
    m_peers = peers;
    host.post_control([this] { open(*m_kernel); });
    host.every(settings_check_period, [this] { apply_settings("file changed", false); });
    return success();
}

void serving_directory::open(kernel& host) {
    m_access = m_adapter.open_directory(host.control_context(), m_settings.store);
    m_roles->open(m_access.authority);
    m_peers->open(object_key(m_settings.id.str()), m_access.host_slot, m_access.hosts);
    watcher_hooks servers = hooks_for(host, servers_kind);
    servers.listed = [this](const auto& all, object_version as_of) { on_servers_listed(all, as_of); };
    servers.changed = [this](const object_event_batch& batch) { on_servers_changed(batch); };
    m_servers = std::make_shared<kind_watcher>(m_access.servers, std::move(servers));
    watcher_hooks configurations = hooks_for(host, configurations_kind);
    configurations.listed = [this](const std::vector<directory_object>& all, object_version) {
        contact(configurations_kind, true, "");
        std::for_each(all.begin(), all.end(), [this](const auto& object) { on_configuration(object); });
    };
    configurations.changed = [this](const object_event_batch& batch) {
        contact(configurations_kind, true, "");
        for (const object_event& event : batch.events) {
            if (!event.removed) {
                on_configuration(event.object);
            }
        }
    };
    m_configurations = std::make_shared<kind_watcher>(m_access.configurations, std::move(configurations));
    m_servers->start();
    m_configurations->start();
}

watcher_hooks serving_directory::hooks_for(kernel& host, const std::string& kind) {
    watcher_hooks hooks;
    hooks.watch_wait = std::chrono::duration_cast<milliseconds>(m_settings.store_contact - watch_reserve);
    const duration bound = kind == servers_kind ? m_settings.leave_bound : m_settings.config_bound;
    hooks.collect_time = std::chrono::duration_cast<milliseconds>(bound / collect_part);
    hooks.failed = [this, kind](const error& why, duration) {
        contact(kind, false, to_string(why));
        if (kind == servers_kind) {
            m_fleet.contact_lost();
        }
    };
    hooks.schedule = [&host](duration delay, std::function<void()> task) {
        host.post_control_after(delay, std::move(task));
    };
    hooks.random = seeded_random_hook(random_seed());
    return hooks;
}

void serving_directory::contact(const std::string& kind, bool reached, const std::string& reason) {
    if (reached && m_unreachable.erase(kind) > 0) {
        m_log->info("dependency_regained", {{"dependency", "store"}, {"kind", kind}});
    }
    if (!reached && m_unreachable.insert(kind).second) {
        m_log->warning("dependency_lost", {{"dependency", "store"},
                                           {"kind", kind},
                                           {"reason", reason},
                                           {"config_version", m_version},
                                           {"fleet_revision", m_fleet.snapshot().revision}});
    }
}

std::optional<backend_server_entry> serving_directory::decode_server(const directory_object& object) {
    auto entry = m_access.decode_server(object);
    if (entry) {
        return std::move(entry.value());
    }
    if (m_refused.insert(object.name).second) {
        m_log->warning("server_entry_refused", {{"entry", object.name}, {"reason", entry.error().detail}});
    }
    return std::nullopt;
}

void serving_directory::on_servers_listed(const std::vector<directory_object>& all, object_version as_of) {
    contact(servers_kind, true, "");
    std::vector<backend_server_entry> entries;
    for (const directory_object& object : all) {
        if (auto entry = decode_server(object)) {
            entries.push_back(std::move(*entry));
        }
    }
    m_fleet.replace(std::move(entries), as_of, std::chrono::steady_clock::now());
    publish_fleet();
}

void serving_directory::on_servers_changed(const object_event_batch& batch) {
    contact(servers_kind, true, "");
    const time_point now = std::chrono::steady_clock::now();
    for (const object_event& event : batch.events) {
        const backend_server_id id(event.object.name.str());
        if (event.removed) {
            m_log->info("server_entry_removed", {{"server", id}, {"revision", event.object.revision}});
            // The revision of the removal may not be stated; it is never older than the batch's.
            m_fleet.remove(id, std::max(event.object.revision, batch.as_of), now);
            continue;
        }
        if (auto entry = decode_server(event.object)) {
            m_fleet.update(std::move(*entry), now);
        }
    }
    m_fleet.confirm(batch.as_of, now);
    publish_fleet();
}

void serving_directory::publish_fleet() {
    auto snapshot = std::make_shared<fleet_snapshot>(m_fleet.snapshot());
    for (const backend_server_entry& known : m_published) {
        const bool gone = std::none_of(snapshot->servers.begin(), snapshot->servers.end(),
                                       [&known](const auto& entry) { return entry.id == known.id; });
        if (gone) {
            m_log->info("server_gone", {{"server", known.id}, {"fleet_revision", snapshot->revision}});
        }
    }
    for (const backend_server_entry& entry : snapshot->servers) {
        const auto same_id = [&entry](const backend_server_entry& other) { return other.id == entry.id; };
        const auto known = std::find_if(m_published.begin(), m_published.end(), same_id);
        if (known != m_published.end() && *known == entry) {
            continue;
        }
        m_log->info("server_entry", {{"server", entry.id},
                                     {"service", entry.service},
                                     {"address", entry.address},
                                     {"role", to_string(entry.role)},
                                     {"draining", entry.draining},
                                     {"born", entry.born},
                                     {"revision", entry.revision}});
    }
    m_published = snapshot->servers;
    m_roles->observe(m_published);
    m_traffic->adopt(std::shared_ptr<const fleet_snapshot>(std::move(snapshot)));
    if (const auto expiry = m_fleet.next_expiry()) {
        const duration delay = std::max(duration::zero(), *expiry - std::chrono::steady_clock::now());
        m_kernel->post_control_after(delay, [this] { drop_lapsed(); });
    }
}

void serving_directory::on_configuration(const directory_object& object) {
    if (!m_access.is_newest_configuration(object.name)) {
        return;
    }
    auto decoded = m_access.decode_configuration(object);
    if (!decoded) {
        m_log->warning("configuration_refused",
                       {{"revision", object.revision}, {"reason", to_string(decoded.error())}});
        return;
    }
    auto table = std::make_shared<const route_table>(std::move(decoded.value()));
    if (table->version() < m_version) {
        m_log->warning("configuration_ignored", {{"version", table->version()}, {"in_force", m_version}});
        return;
    }
    m_log->info("configuration_adopted", {{"version", table->version()},
                                          {"before", m_version},
                                          {"revision", object.revision},
                                          {"routes", std::uint64_t{table->routes()}}});
    m_version = table->version();
    m_traffic->adopt(std::move(table));
}

void serving_directory::drop_lapsed() {
    if (m_fleet.expire(std::chrono::steady_clock::now())) {
        publish_fleet();
    }
}

void serving_directory::reload(const std::string& cause) {
    m_kernel->post_control([this, cause] { apply_settings(cause, true); });
}

void serving_directory::apply_settings(const std::string& cause, bool log_unchanged) {
    const auto loaded = m_adapter.load_settings();
    if (!loaded) {
        // The check repeats every second; one line a reason is enough.
        const std::string reason = to_string(loaded.error());
        if (std::exchange(m_settings_refusal, reason) != reason || log_unchanged) {
            m_log->warning("settings_refused", {{"cause", cause}, {"reason", reason}});
        }
        return;
    }
    m_settings_refusal.clear();
    const bool changed = !(loaded.value() == m_settings);
    if (changed || log_unchanged) {
        m_log->info("settings_reloaded", {{"cause", cause}, {"changed", changed}});
    }
    if (!changed) {
        return;
    }
    m_settings = loaded.value();
    if (m_access.move_to) {
        m_access.move_to(m_settings.store);
    }
    m_traffic->adopt(m_settings);
}

void serving_directory::stop() {
    if (m_servers) {
        m_servers->stop();
    }
    if (m_configurations) {
        m_configurations->stop();
    }
}

service_name serving_directory_name() {
    return service_name("serving_directory");
}

} // namespace parsleypitch
