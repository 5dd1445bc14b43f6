#include <parsleypitch/serving/serving_directory.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

/// Part of the time within which the store has to be reached that is reserved for the answer to a watch and
/// for a new connection.
constexpr milliseconds watch_reserve{1000};
constexpr milliseconds settings_check_period{1000};
/// The coalescing delay is the time within which a change has to be known, divided by this.
constexpr int coalesce_divisor = 2;

/// Longest time for another host to answer with its configuration.
constexpr milliseconds relay_timeout{1000};
const std::string relay_path = "/configuration";

const std::string servers_kind = "backend_servers";
const std::string configurations_kind = "configurations";

} // namespace

serving_directory::serving_directory(serve_settings settings, platform_adapter adapter)
    : m_settings(std::move(settings)), m_adapter(std::move(adapter)),
      m_fleet(m_settings.server_entry_lifetime) {
}

service_name serving_directory::name() const {
    return serving_directory_name();
}

result<void> serving_directory::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    BOOST_OUTCOME_TRY(roles, host.find<serving_roles>(serving_roles_name()));
    BOOST_OUTCOME_TRY(peers, host.find<serving_peers>(serving_peers_name()));
    BOOST_OUTCOME_TRY(quarantine, host.find<serving_quarantine>(serving_quarantine_name()));
    BOOST_OUTCOME_TRY(calls, host.find<peer_calls>(peer_calls_name()));
    // Tools and tests run without usage reports.
    if (const auto usage = host.find<serving_usage>(serving_usage_name())) {
        m_usage = usage.value();
    }
    m_peer_calls = calls;
    m_kernel = &host;
    m_log = log;
    m_traffic = traffic;
    m_roles = roles;
    m_peers = peers;
    m_quarantine = quarantine;
    if (m_settings.relays_configuration && m_peer_calls->enabled()) {
        start_relay();
    }
    host.post_control([this] { open_store(*m_kernel); });
    host.post_control_every(settings_check_period, [this] { apply_settings("file changed", false); });
    return success();
}

void serving_directory::open_store(kernel& host) {
    m_store = m_adapter.open_store(host.control_context(), m_settings.store);
    if (m_store.on_restored) {
        m_store.on_restored([this](store_era before, store_era now) { on_restored(before, now); });
    }
    m_roles->open(m_store.authority);
    m_peers->open(object_key(m_settings.id.str()), m_store.host_entry, m_store.hosts);
    m_quarantine->open(m_store.quarantines, m_store.quarantine_record);
    if (m_usage) {
        m_usage->open(m_store.usage_report);
    }
    watcher_hooks servers = make_watcher_hooks(host, servers_kind);
    servers.listed = [this](const auto& all, const auto& as_of) { on_servers_listed(all, as_of); };
    servers.changed = [this](const object_event_batch& batch) { on_servers_changed(batch); };
    m_server_watcher = std::make_shared<kind_watcher>(m_store.servers, std::move(servers));
    watcher_hooks configurations = make_watcher_hooks(host, configurations_kind);
    configurations.listed = [this](const std::vector<directory_object>& all, const store_revision&) {
        record_contact(configurations_kind, true, "");
        std::for_each(all.begin(), all.end(), [this](const auto& object) { on_configuration(object); });
    };
    configurations.changed = [this](const object_event_batch& batch) {
        record_contact(configurations_kind, true, "");
        for (const object_event& event : batch.events) {
            if (!event.removed) {
                on_configuration(event.object);
            }
        }
    };
    m_configuration_watcher =
        std::make_shared<kind_watcher>(m_store.configurations, std::move(configurations));
    m_server_watcher->start();
    m_configuration_watcher->start();
}

watcher_hooks serving_directory::make_watcher_hooks(kernel& host, const std::string& kind) {
    watcher_hooks hooks;
    hooks.watch_wait =
        std::chrono::duration_cast<milliseconds>(m_settings.store_reconnect_limit - watch_reserve);
    const duration bound =
        kind == servers_kind ? m_settings.drain_propagation_limit : m_settings.config_propagation_limit;
    hooks.coalesce_delay = std::chrono::duration_cast<milliseconds>(bound / coalesce_divisor);
    hooks.failed = [this, kind](const error& why, duration) {
        record_contact(kind, false, to_string(why));
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

void serving_directory::record_contact(const std::string& kind, bool reached, const std::string& reason) {
    if (reached && m_unreachable_kinds.erase(kind) > 0) {
        m_log->info("dependency_regained", {{"dependency", "store"}, {"kind", kind}});
    }
    if (!reached && m_unreachable_kinds.insert(kind).second) {
        m_log->warning("dependency_lost", {{"dependency", "store"},
                                           {"kind", kind},
                                           {"reason", reason},
                                           {"config_version", m_config_version},
                                           {"fleet_revision", m_fleet.snapshot().revision.number}});
    }
}

std::optional<backend_server_entry> serving_directory::decode_server(const directory_object& object) {
    auto entry = m_store.decode_server(object);
    if (entry) {
        return std::move(entry.value());
    }
    if (m_refused_entries.insert(object.name).second) {
        m_log->warning("server_entry_refused", {{"entry", object.name}, {"reason", entry.error().detail}});
    }
    return std::nullopt;
}

void serving_directory::on_servers_listed(const std::vector<directory_object>& all,
                                          const store_revision& as_of) {
    record_contact(servers_kind, true, "");
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
    record_contact(servers_kind, true, "");
    const time_point now = std::chrono::steady_clock::now();
    for (const object_event& event : batch.events) {
        const backend_server_id id(event.object.name.str());
        if (event.removed) {
            m_log->info("server_entry_removed", {{"server", id}, {"revision", event.object.revision.number}});
            // The event need not state the revision of the removal, so at least that of the batch is used.
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

void serving_directory::on_restored(store_era before, store_era now) {
    m_log->warning("store_restored", {{"era", now},
                                      {"era_before", before},
                                      {"config_version", m_config_version},
                                      {"fleet_revision", m_fleet.snapshot().revision.number}});
    m_server_watcher->on_restored(now);
    m_configuration_watcher->on_restored(now);
    m_roles->on_restored(now);
    m_peers->on_restored();
    m_quarantine->on_restored();
    if (m_usage) {
        m_usage->on_restored();
    }
}

void serving_directory::publish_fleet() {
    auto snapshot = std::make_shared<fleet_snapshot>(m_fleet.snapshot());
    for (const backend_server_entry& known : m_published) {
        const bool gone = std::none_of(snapshot->servers.begin(), snapshot->servers.end(),
                                       [&known](const auto& entry) { return entry.id == known.id; });
        if (gone) {
            m_log->info("server_gone", {{"server", known.id}, {"fleet_revision", snapshot->revision.number}});
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
                                     {"revision", entry.revision.number},
                                     {"era", entry.revision.era}});
    }
    m_published = snapshot->servers;
    m_roles->observe(m_published);
    m_fleet_hook(m_published);
    m_traffic->adopt(std::shared_ptr<const fleet_snapshot>(std::move(snapshot)));
    if (const auto expiry = m_fleet.next_expiry()) {
        const duration delay = std::max(duration::zero(), *expiry - std::chrono::steady_clock::now());
        m_kernel->post_control_after(delay, [this] { expire_servers(); });
    }
}

void serving_directory::start_relay() {
    configuration_relay_hooks hooks;
    hooks.in_force = [this] { return m_config_version; };
    hooks.fetch = [this](const endpoint& peer, std::function<void(result<std::string>)> done) {
        m_peer_calls->call(peer, relay_path, "", relay_timeout,
                           [this, peer, done = std::move(done)](const result<std::string>& document) {
                               if (!document) {
                                   m_log->warning("configuration_fetch_failed",
                                                  {{"peer", peer}, {"reason", to_string(document.error())}});
                               }
                               done(document);
                           });
    };
    hooks.adopt = [this](const std::string& document, const endpoint& peer) {
        directory_object object;
        object.content = document;
        adopt_configuration(object, peer.str());
    };
    hooks.schedule = [this](duration delay, std::function<void()> task) {
        m_kernel->post_control_after(delay, std::move(task));
    };
    m_relay = std::make_shared<configuration_relay>(std::move(hooks));
    m_peer_calls->on_call(relay_path, [this](const std::string&) {
        return m_config_document.empty() ? std::nullopt : std::optional(m_config_document);
    });
    m_traffic->on_newer_configuration(
        [weak = std::weak_ptr(m_relay)](config_version version, const endpoint& peer) {
            if (const auto relay = weak.lock()) {
                relay->note_peer(version, peer);
            }
        });
}

void serving_directory::on_configuration(const directory_object& object) {
    if (m_store.is_newest_configuration(object.name)) {
        adopt_configuration(object, "store");
    }
}

void serving_directory::adopt_configuration(const directory_object& object, const std::string& source) {
    auto decoded = m_store.decode_configuration(object);
    if (!decoded) {
        m_log->warning("configuration_refused", {{"source", source},
                                                 {"revision", object.revision.number},
                                                 {"reason", to_string(decoded.error())}});
        return;
    }
    auto table = std::make_shared<const route_table>(std::move(decoded.value()));
    if (table->version() < m_config_version) {
        m_log->warning("configuration_ignored",
                       {{"source", source}, {"version", table->version()}, {"in_force", m_config_version}});
        return;
    }
    m_log->info("configuration_adopted", {{"version", table->version()},
                                          {"before", m_config_version},
                                          {"source", source},
                                          {"revision", object.revision.number},
                                          {"era", object.revision.era},
                                          {"routes", std::uint64_t{table->routes()}}});
    m_config_version = table->version();
    if (m_relay) {
        m_config_document = object.content;
    }
    if (m_usage) {
        m_usage->observe_configuration(table->accounts() != nullptr);
    }
    m_routes_hook(*table);
    m_traffic->adopt(std::move(table));
}

void serving_directory::expire_servers() {
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
        // The check runs every second; each error is logged only once.
        const std::string reason = to_string(loaded.error());
        if (std::exchange(m_settings_error, reason) != reason || log_unchanged) {
            m_log->warning("settings_refused", {{"cause", cause}, {"reason", reason}});
        }
        return;
    }
    m_settings_error.clear();
    const bool changed = !(loaded.value() == m_settings);
    if (changed || log_unchanged) {
        m_log->info("settings_reloaded", {{"cause", cause}, {"changed", changed}});
    }
    if (!changed) {
        return;
    }
    m_settings = loaded.value();
    if (m_store.set_address) {
        m_store.set_address(m_settings.store);
    }
    m_traffic->adopt(m_settings);
}

void serving_directory::stop() {
    if (m_server_watcher) {
        m_server_watcher->stop();
    }
    if (m_configuration_watcher) {
        m_configuration_watcher->stop();
    }
}

service_name serving_directory_name() {
    return service_name("serving_directory");
}

} // namespace parsleypitch
