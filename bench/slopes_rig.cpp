#include "slopes_rig.hpp"

#include "fleet.hpp"
#include "http_calls.hpp"

#include <csignal>
#include <fstream>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr milliseconds ready_limit{15'000};
constexpr milliseconds command_limit{60'000};
constexpr milliseconds serving_limit{20'000};
constexpr milliseconds serving_poll{50};
constexpr milliseconds stop_limit{1000};

} // namespace

slopes_rig::slopes_rig(std::string binaries, std::string folder)
    : m_binaries(std::move(binaries)), m_folder(std::move(folder)), m_next_endpoint(free_endpoints()) {
}

slopes_rig::~slopes_rig() {
    // The measurement is complete, so open requests need no graceful shutdown.
    for (process& each : m_processes) {
        each.signal(SIGKILL);
    }
    for (process& each : m_processes) {
        each.stop(stop_limit);
    }
}

result<pid_t> slopes_rig::start(const std::string& name, std::vector<std::string> command) {
    command.front() = m_binaries + "/" + command.front();
    BOOST_OUTCOME_TRY(child,
                      process::start(name + "-" + std::to_string(++m_started), std::move(command), m_folder));
    m_processes.push_back(std::move(child));
    BOOST_OUTCOME_TRY(m_processes.back().wait_ready(ready_limit));
    return m_processes.back().id();
}

result<std::string> slopes_rig::write_file(const std::string& name, const std::string& text) const {
    std::string path = m_folder + "/" + name;
    std::ofstream file(path);
    file << text;
    if (!file.flush()) {
        return fail(errc::unreadable_file, path + " could not be written");
    }
    return path;
}

result<void> slopes_rig::start_platform(const std::vector<std::string>& options) {
    m_platform = next_endpoint();
    m_platform_route = m_platform;
    std::vector<std::string> command = {"parsleypitch-standin", "platform", "--listen", m_platform.str()};
    command.insert(command.end(), options.begin(), options.end());
    BOOST_OUTCOME_TRY(start("platform", std::move(command)));
    return success();
}

result<void> slopes_rig::start_backend(const fleet_spec& spec, const backend_plan& backend) {
    std::vector<std::string> command = {"parsleypitch-standin",
                                        backend.is_engine ? "engine" : "service",
                                        "--listen",
                                        backend.backend.str(),
                                        "--id",
                                        backend.id.str()};
    if (backend.is_engine) {
        command.insert(command.end(), {"--model", spec.model.str(), "--version", "1"});
    }
    const auto& options = backend.is_engine ? spec.engine_options : spec.service_options;
    command.insert(command.end(), options.begin(), options.end());
    BOOST_OUTCOME_TRY(start(backend.id.str(), std::move(command)));
    return success();
}

result<pid_t> slopes_rig::start_agent(const fleet_spec& spec, const backend_plan& backend,
                                      const std::vector<endpoint>& seeds) {
    const std::string name = "agent-" + backend.id.str();
    BOOST_OUTCOME_TRY(
        path, write_file(name + ".toml", agent_settings_text(spec, backend, m_platform_route, seeds)));
    return start(name, {"parsleypitch", "agent", "--settings", path});
}

result<pid_t> slopes_rig::start_entry(const entry_plan& entry, const std::vector<endpoint>& seeds,
                                      const std::string& extra) {
    BOOST_OUTCOME_TRY(path, write_file(entry.id.str() + ".toml",
                                       entry_settings_text(entry, m_platform_route, seeds, extra)));
    return start(entry.id.str(), {"parsleypitch", "entry", "--settings", path});
}

result<void> slopes_rig::run_command(const std::string& name, std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), m_binaries + "/parsleypitch");
    BOOST_OUTCOME_TRY(
        child, process::start(name + "-" + std::to_string(++m_started), std::move(arguments), m_folder));
    BOOST_OUTCOME_TRY(code, child.wait_end(command_limit));
    if (code != 0) {
        return fail(errc::config_not_accepted,
                    name + " ended with code " + std::to_string(code) + ": " + child.log_tail());
    }
    return success();
}

result<void> slopes_rig::apply(const std::string& document) {
    BOOST_OUTCOME_TRY(path, write_file("environment.toml", document));
    BOOST_OUTCOME_TRY(run_command("config-apply",
                                  {"config", "apply", "--env", "trial", "--store", m_platform.str(), path}));
    return run_command("config-promote", {"config", "promote", "--from", "trial", "--to", "production",
                                          "--store", m_platform.str()});
}

result<void> wait_until_serving(const endpoint& callers, std::size_t backend_servers) {
    const time_point end = std::chrono::steady_clock::now() + serving_limit;
    while (true) {
        const auto health = get_json(callers, "/healthz");
        if (health && health.value().value("live_backend_servers", std::size_t{0}) >= backend_servers) {
            return success();
        }
        if (std::chrono::steady_clock::now() >= end) {
            return fail(
                errc::deadline_exceeded,
                callers.str() + " does not serve with " + std::to_string(backend_servers) +
                    " backend servers: " + (health ? health.value().dump() : to_string(health.error())));
        }
        std::this_thread::sleep_for(serving_poll);
    }
}

} // namespace parsleypitch::bench
