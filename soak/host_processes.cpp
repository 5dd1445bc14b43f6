#include "host_processes.hpp"

#include "names.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;

constexpr unsigned usage_window_seconds = 2;
constexpr milliseconds supervision_period{20};
constexpr milliseconds kill_timeout{2000};
/// Delay of SIGKILL after the grace period, so that an exit at its very end still counts as regular.
constexpr milliseconds grace_slack{500};
constexpr unsigned first_internal_port = 7380;
constexpr unsigned last_internal_port = 7395;

} // namespace

result<void> host_processes::start(kernel& host) {
    m_kernel = &host;
    BOOST_OUTCOME_TRY(traffic, host.find<soak_traffic>(soak_traffic_name));
    m_traffic = traffic;
    m_hosts.resize(m_plan.entry_hosts);
    for (std::size_t each = 0; each < m_hosts.size(); ++each) {
        BOOST_OUTCOME_TRY(write_settings(each));
        BOOST_OUTCOME_TRY(launch(each));
    }
    host.post_control_every(supervision_period, [this] {
        for (std::size_t each = 0; each < m_hosts.size(); ++each) {
            supervise(each);
        }
    });
    return success();
}

void host_processes::stop() {
    if (m_kernel == nullptr) {
        return;
    }
    // Runs on the control thread, because `supervise` would otherwise restart the hosts meanwhile.
    std::promise<void> done;
    m_kernel->post_control([this, &done] {
        m_stopped = true;
        for (const entry_host& each : m_hosts) {
            if (each.process) {
                each.process->signal(SIGKILL);
            }
        }
        for (entry_host& each : m_hosts) {
            if (each.process) {
                (void)each.process->wait_end(kill_timeout);
            }
        }
        done.set_value();
    });
    done.get_future().wait();
}

result<void> host_processes::write_settings(std::size_t host) const {
    const soak_network network(m_plan.network);
    const auto ms = [](duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    const json settings = {
        {"node", host_id(host).str()},
        {"zone", zone_of(host).str()},
        {"ip", network.host_ip(host)},
        {"listen",
         {{"front", network.host_callers(host).str()}, {"ready", network.host_readiness(host).str()}}},
        {"internal_ports", {first_internal_port, last_internal_port}},
        {"bounds",
         {{"contact_ms", ms(m_bounds.contact)},
          {"lease_ms", ms(m_bounds.lease)},
          {"grace_s", to_seconds(m_bounds.stop_grace)},
          {"revoke_ms", ms(m_bounds.config_apply)},
          {"report_window_s", usage_window_seconds},
          {"retry_budget_ratio", m_bounds.retry_ratio},
          {"retry_budget_slack", m_bounds.retry_allowance},
          {"budget_window_s", to_seconds(m_bounds.retry_window)}}},
        {"platform", {{"address", network.store_link(host).str()}}},
        {"cloud", {{"address", network.store_link(host).str()}}}};
    const std::string path = m_plan.folder + "/" + host_id(host).str() + ".json";
    std::ofstream file(path);
    file << settings.dump(2);
    if (!file) {
        return fail(errc::unreadable_file, path + ": expected to be writable");
    }
    return success();
}

result<void> host_processes::launch(std::size_t host) {
    entry_host& entry = m_hosts[host];
    const std::string variable = std::string(platform::names::settings_variable) + "=" + m_plan.folder + "/" +
                                 host_id(host).str() + ".json";
    BOOST_OUTCOME_TRY(process, bench::process::start(host_id(host).str(), {m_plan.program, "serve"},
                                                     m_plan.folder, {variable}));
    entry = entry_host{std::move(process), entry.started.next(), {}, {}, {}, false, false};
    m_traffic->post([id = host_id(host), born = entry.started](soak_traffic::testbed& bed) {
        bed.requests.set_incarnation(id, born);
    });
    return success();
}

void host_processes::supervise(std::size_t host) {
    if (m_stopped) {
        return;
    }
    entry_host& entry = m_hosts[host];
    const time_point now = std::chrono::steady_clock::now();
    if (!entry.process) {
        if (entry.start_at && now >= *entry.start_at) {
            if (const auto launched = launch(host); !launched) {
                report_anomaly(to_string(launched.error()));
            }
        }
        return;
    }
    if (entry.process->running()) {
        if (entry.stopping && now > *entry.stopping + m_bounds.stop_grace + grace_slack) {
            if (!entry.was_paused) {
                report_anomaly(host_id(host).str() + " was still running after its stop grace period");
            }
            entry.killed = true;
            entry.process->signal(SIGKILL);
        }
        return;
    }
    const int code = entry.process->wait_end(milliseconds(0)).value();
    if (!entry.killed && (!entry.stopping || code != 0)) {
        report_anomaly(host_id(host).str() + (entry.stopping ? " stopped" : " exited unexpectedly") +
                       " with code " + std::to_string(code) + ": " + entry.process->log_tail());
    }
    entry.process.reset();
    entry.start_at = now + entry.restart_delay;
}

void host_processes::report_anomaly(const std::string& anomaly) {
    m_traffic->post([anomaly](soak_traffic::testbed& bed) { bed.observed.anomalies.push_back(anomaly); });
}

bool host_processes::running(std::size_t host) const {
    return m_hosts[host].process.has_value();
}

byte_count host_processes::peak_memory(std::size_t host) const {
    std::ifstream status("/proc/" + std::to_string(m_hosts[host].process->id()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            constexpr std::int64_t bytes_per_kilobyte = 1024;
            return byte_count(std::stoll(line.substr(line.find(':') + 1)) * bytes_per_kilobyte);
        }
    }
    return byte_count();
}

void host_processes::kill(std::size_t host, duration restart_delay) {
    entry_host& entry = m_hosts[host];
    if (entry.process) {
        entry.killed = true;
        entry.restart_delay = restart_delay;
        entry.process->signal(SIGKILL);
    }
}

void host_processes::pause(std::size_t host, duration pause_length) {
    entry_host& entry = m_hosts[host];
    if (!entry.process) {
        return;
    }
    entry.was_paused = true;
    entry.process->signal(SIGSTOP);
    m_kernel->post_control_after(pause_length, [this, host] {
        if (m_hosts[host].process) {
            m_hosts[host].process->signal(SIGCONT);
        }
    });
}

void host_processes::terminate(std::size_t host) {
    entry_host& entry = m_hosts[host];
    if (!entry.process || entry.stopping || entry.killed) {
        return;
    }
    entry.stopping = std::chrono::steady_clock::now();
    entry.process->signal(SIGTERM);
    m_traffic->post([id = host_id(host), at = *entry.stopping](soak_traffic::testbed& bed) {
        bed.observed.planned_stops.emplace_back(id, at);
    });
}

void host_processes::terminate_again(std::size_t host) {
    if (m_hosts[host].process && m_hosts[host].stopping) {
        m_hosts[host].process->signal(SIGTERM);
    }
}

void host_processes::reload(std::size_t host) {
    if (!m_hosts[host].process) {
        return;
    }
    if (const auto written = write_settings(host); !written) {
        report_anomaly(to_string(written.error()));
        return;
    }
    m_hosts[host].process->signal(SIGHUP);
}

} // namespace parsleypitch::soak
