#include "fleet.hpp"

#include "http_calls.hpp"

#include <asio.hpp>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr milliseconds start_limit{15'000};
constexpr milliseconds command_limit{20'000};
constexpr milliseconds live_limit{30'000};
constexpr milliseconds live_poll{100};
constexpr milliseconds stop_limit{5000};

constexpr std::array<std::string_view, 5> role_names = {"platform", "engine", "plain_service", "agent",
                                                        "entry_host"};

std::string join_path(const std::string& folder, const std::string& name) {
    return folder + "/" + name;
}

} // namespace

std::string_view to_string(process_role role) noexcept {
    return role_names[static_cast<std::size_t>(role)];
}

std::function<endpoint()> free_endpoints() {
    // Stays below the ephemeral range, so that no outgoing connection takes a port before it is bound.
    constexpr unsigned first_port = 12'000;
    constexpr unsigned last_port = 31'999;
    constexpr unsigned step = 257;
    const unsigned start =
        first_port + (static_cast<unsigned>(::getpid()) * step) % (last_port - first_port + 1);
    return [port = start]() mutable {
        while (true) {
            port = port >= last_port ? first_port : port + 1;
            asio::io_context io;
            asio::ip::tcp::acceptor probe(io);
            const asio::ip::tcp::endpoint at(asio::ip::address_v4::loopback(),
                                             static_cast<std::uint16_t>(port));
            std::error_code code;
            probe.open(at.protocol(), code);
            probe.bind(at, code);
            if (!code) {
                return endpoint("127.0.0.1:" + std::to_string(port));
            }
        }
    };
}

fleet::fleet(fleet_options options) : m_options(std::move(options)) {
}

fleet::~fleet() {
    stop();
}

result<void> fleet::start(kernel& host) {
    m_next_endpoint = free_endpoints();
    m_plan = plan_fleet(m_options.spec, m_next_endpoint);
    if (auto started = start_stand_ins(); !started) {
        return started;
    }
    if (auto registered = register_hosts(); !registered) {
        return registered;
    }
    if (auto applied = apply_document(); !applied) {
        return applied;
    }
    if (auto started = start_agents_and_entries(host); !started) {
        return started;
    }
    return wait_until_live();
}

result<std::string> fleet::write_file(const std::string& name, const std::string& text) const {
    std::string path = join_path(m_options.folder, name);
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        return fail(errc::unreadable_file, path + " could not be written");
    }
    return path;
}

result<void> fleet::start_member(process_role role, const std::string& name,
                                 std::vector<std::string> command) {
    command.front() = join_path(m_options.binaries, command.front());
    auto child = process::start(name, std::move(command), m_options.folder);
    if (!child) {
        return child.error();
    }
    const std::lock_guard lock(m_mutex);
    m_members.push_back({role, std::move(child.value())});
    return success();
}

std::vector<std::string> fleet::backend_command(std::size_t index) const {
    const fleet_spec& spec = m_options.spec;
    const backend_plan& backend = m_plan.backends[index];
    std::vector<std::string> command = {"parsleypitch-standin",
                                        backend.is_engine ? "engine" : "service",
                                        "--listen",
                                        backend.backend.str(),
                                        "--id",
                                        backend.id.str()};
    if (backend.is_engine) {
        // The plan lists the engines before the plain services.
        const std::string role(parsleypitch::to_string(m_options.split.role_of(index)));
        command.insert(command.end(), {"--model", spec.model.str(), "--version", "1", "--role", role,
                                       "--platform", m_plan.platform.str()});
        if (spec.checks_fencing) {
            command.emplace_back("--checks-fencing");
        }
    }
    if (!backend.is_engine) {
        command.insert(command.end(), {"--bookings", m_plan.platform.str()});
    }
    const auto& options = backend.is_engine ? spec.engine_options : spec.service_options;
    command.insert(command.end(), options.begin(), options.end());
    return command;
}

result<void> fleet::start_stand_ins() {
    std::vector<std::string> platform = {"parsleypitch-standin", "platform", "--listen",
                                         m_plan.platform.str()};
    platform.insert(platform.end(), m_options.spec.platform_options.begin(),
                    m_options.spec.platform_options.end());
    if (auto started = start_member(process_role::platform, "platform", std::move(platform)); !started) {
        return started;
    }
    for (std::size_t i = 0; i < m_plan.backends.size(); ++i) {
        const auto role = m_plan.backends[i].is_engine ? process_role::engine : process_role::plain_service;
        if (auto started = start_member(role, m_plan.backends[i].id.str(), backend_command(i)); !started) {
            return started;
        }
    }
    for (member& each : m_members) {
        if (auto ready = each.child.wait_ready(start_limit); !ready) {
            return ready;
        }
    }
    return success();
}

result<void> fleet::register_hosts() {
    std::vector<std::string> hosts;
    for (const backend_plan& backend : m_plan.backends) {
        hosts.push_back(backend.id.str());
    }
    for (const entry_plan& entry : m_plan.entries) {
        hosts.push_back(entry.id.str());
    }
    for (const std::string& host : hosts) {
        if (auto posted = post_json(m_plan.platform, "/admin/hosts", {{"host", host}, {"state", "live"}});
            !posted) {
            return posted;
        }
    }
    return success();
}

result<void> fleet::run_command(const std::string& name, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), join_path(m_options.binaries, "parsleypitch"));
    auto child = process::start(name, std::move(arguments), m_options.folder);
    if (!child) {
        return child.error();
    }
    auto code = child.value().wait_end(command_limit);
    if (!code) {
        return code.error();
    }
    if (code.value() != 0) {
        return fail(errc::config_not_accepted, name + " ended with code " + std::to_string(code.value()) +
                                                   ": " + child.value().log_tail());
    }
    return success();
}

result<void> fleet::apply_document() {
    const environment_name trial("trial");
    auto path = write_file("environment.toml", environment_document(m_options.spec, m_plan, trial));
    if (!path) {
        return path.error();
    }
    const std::string store = m_plan.platform.str();
    if (auto applied = run_command("config-apply",
                                   {"config", "apply", "--env", trial.str(), "--store", store, path.value()});
        !applied) {
        return applied;
    }
    return run_command("config-promote",
                       {"config", "promote", "--from", trial.str(), "--to", "production", "--store", store});
}

std::vector<endpoint> fleet::entry_seeds(const entry_plan& entry, std::vector<zone_link>& links) const {
    std::vector<endpoint> seeds;
    for (const entry_plan& other : m_plan.entries) {
        if (other.id == entry.id) {
            continue;
        }
        const bool relayed = m_options.relays && other.zone != entry.zone;
        seeds.push_back(relayed ? m_next_endpoint() : other.peers);
        if (relayed) {
            links.push_back({entry.zone, other.zone, seeds.back(), other.peers});
        }
    }
    return seeds;
}

std::vector<endpoint> fleet::agent_seeds(const backend_plan& backend) const {
    std::vector<endpoint> own_zone;
    std::vector<endpoint> others;
    for (const entry_plan& entry : m_plan.entries) {
        (entry.zone == backend.zone ? own_zone : others).push_back(entry.peers);
    }
    own_zone.insert(own_zone.end(), others.begin(), others.end());
    return own_zone;
}

result<void> fleet::start_agents_and_entries(kernel& host) {
    std::vector<zone_link> links;
    const std::size_t first = m_members.size();
    for (const entry_plan& entry : m_plan.entries) {
        auto path = write_file(entry.id.str() + ".toml",
                               entry_settings_text(entry, m_plan.platform, entry_seeds(entry, links),
                                                   m_options.entry_settings_extra));
        if (!path) {
            return path.error();
        }
        if (auto started = start_member(process_role::entry_host, entry.id.str(),
                                        {"parsleypitch", "entry", "--settings", path.value()});
            !started) {
            return started;
        }
    }
    m_proxy = std::make_shared<delay_proxy>(std::move(links), m_options.spec.delay);
    if (auto started = m_proxy->start(host); !started) {
        return started;
    }
    for (const backend_plan& backend : m_plan.backends) {
        const std::string name = "agent-" + backend.id.str();
        auto path = write_file(name + ".toml", agent_settings_text(m_options.spec, backend, m_plan.platform,
                                                                   agent_seeds(backend)));
        if (!path) {
            return path.error();
        }
        if (auto started = start_member(process_role::agent, name,
                                        {"parsleypitch", "agent", "--settings", path.value()});
            !started) {
            return started;
        }
    }
    for (std::size_t i = first; i < m_members.size(); ++i) {
        if (auto ready = m_members[i].child.wait_ready(start_limit); !ready) {
            return ready;
        }
    }
    return success();
}

result<void> fleet::wait_until_live() {
    const time_point end = std::chrono::steady_clock::now() + live_limit;
    const std::size_t wanted = m_plan.backends.size();
    for (const entry_plan& entry : m_plan.entries) {
        std::string last_health = "no answer";
        while (true) {
            const auto health = get_json(entry.callers, "/healthz");
            if (health && health.value().value("live_backend_servers", std::size_t{0}) >= wanted) {
                break;
            }
            last_health = health ? health.value().dump() : to_string(health.error());
            if (std::chrono::steady_clock::now() >= end) {
                return fail(errc::no_backend_server, entry.id.str() + " does not report " +
                                                         std::to_string(wanted) +
                                                         " live backend servers: " + last_health);
            }
            std::this_thread::sleep_for(live_poll);
        }
    }
    return success();
}

void fleet::stop() {
    const std::lock_guard lock(m_mutex);
    // The entry hosts end before the agents and the agents before the stand-ins, so that requests can finish.
    for (const auto role : {process_role::entry_host, process_role::agent, process_role::engine,
                            process_role::plain_service, process_role::platform}) {
        for (member& each : m_members) {
            if (each.role == role) {
                each.child.signal(SIGCONT);
                each.child.signal(SIGTERM);
            }
        }
        const time_point end = std::chrono::steady_clock::now() + stop_limit;
        for (member& each : m_members) {
            if (each.role != role) {
                continue;
            }
            const auto remaining =
                std::chrono::duration_cast<milliseconds>(end - std::chrono::steady_clock::now());
            if (each.child.stop(std::max(remaining, milliseconds(0)))) {
                m_killed.push_back(each.child.name());
            }
        }
    }
    m_members.clear();
    if (m_proxy) {
        m_proxy->stop();
    }
}

std::map<process_role, role_usage> fleet::usage() const {
    const std::lock_guard lock(m_mutex);
    std::map<process_role, role_usage> sums;
    for (const member& each : m_members) {
        const process_usage used = read_usage(each.child.id());
        role_usage& sum = sums[each.role];
        sum.processes += used.resident > byte_count(0) ? 1 : 0;
        sum.total.processor_time += used.processor_time;
        sum.total.resident += used.resident;
    }
    return sums;
}

std::vector<std::string> fleet::unexpected_ends() {
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> ends;
    for (member& each : m_members) {
        if (!each.end_expected && !each.child.running()) {
            ends.push_back(each.child.name() + ": " + each.child.log_tail());
            each.end_expected = true;
        }
    }
    return ends;
}

} // namespace parsleypitch::bench
