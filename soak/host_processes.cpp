#include "host_processes.hpp"

#include "names.hpp"

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace parsleypitch::soak {

namespace {

using nlohmann::json;

constexpr milliseconds watch_period{20};
constexpr milliseconds last_stop{2000};
/// SIGKILL comes this long after the grace, so that an end in the last moment is seen as one.
constexpr milliseconds grace_slack{500};
constexpr unsigned first_system_port = 7380;
constexpr unsigned last_system_port = 7395;

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
    host.post_control_every(watch_period, [this] {
        for (std::size_t each = 0; each < m_hosts.size(); ++each) {
            watch(each);
        }
    });
    return success();
}

void host_processes::stop() {
    if (m_kernel == nullptr) {
        return;
    }
    // On the control thread, where `watch` would otherwise start the hosts again.
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
                (void)each.process->wait_end(last_stop);
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
        {"internal_ports", {first_system_port, last_system_port}},
        {"bounds",
         {{"contact_ms", ms(m_bounds.contact)},
          {"lease_ms", ms(m_bounds.holder_pause)},
          {"grace_s", to_seconds(m_bounds.stop_grace)},
          {"retry_budget_ratio", m_bounds.retry_ratio},
          {"retry_budget_slack", m_bounds.retry_allowance},
          {"budget_window_s", to_seconds(m_bounds.retry_window)}}},
        {"platform", {{"address", network.store_link(host).str()}}}};
    const std::string path = m_plan.folder + "/" + host_id(host).str() + ".json";
    std::ofstream file(path);
    file << settings.dump(2);
    if (!file) {
        return fail(errc::unreadable_file, path + ": expected to be writable");
    }
    return success();
}

result<void> host_processes::launch(std::size_t host) {
    entry_host& of = m_hosts[host];
    const std::string variable = std::string(platform::names::settings_variable) + "=" + m_plan.folder + "/" +
                                 host_id(host).str() + ".json";
    BOOST_OUTCOME_TRY(process, bench::process::start(host_id(host).str(), {m_plan.program, "serve"},
                                                     m_plan.folder, {variable}));
    of = entry_host{std::move(process), of.started.next(), {}, {}, {}, false, false};
    m_traffic->post([id = host_id(host), born = of.started](soak_traffic::world& all) {
        all.requests.note_process(id, born);
    });
    return success();
}

void host_processes::watch(std::size_t host) {
    if (m_stopped) {
        return;
    }
    entry_host& of = m_hosts[host];
    const time_point now = std::chrono::steady_clock::now();
    if (!of.process) {
        if (of.start_at && now >= *of.start_at) {
            if (const auto launched = launch(host); !launched) {
                note(to_string(launched.error()));
            }
        }
        return;
    }
    if (of.process->running()) {
        if (of.stopping && now > *of.stopping + m_bounds.stop_grace + grace_slack) {
            if (!of.was_paused) {
                note(host_id(host).str() + " still ran after its grace");
            }
            of.killed = true;
            of.process->signal(SIGKILL);
        }
        return;
    }
    const int code = of.process->wait_end(milliseconds(0)).value();
    if (!of.killed && (!of.stopping || code != 0)) {
        note(host_id(host).str() + (of.stopping ? " stopped" : " ended by itself") + " with code " +
             std::to_string(code) + ": " + of.process->log_tail());
    }
    of.process.reset();
    of.start_at = now + of.down;
}

void host_processes::note(const std::string& stray) {
    m_traffic->post([stray](soak_traffic::world& all) { all.seen.strays.push_back(stray); });
}

bool host_processes::running(std::size_t host) const {
    return m_hosts[host].process.has_value();
}

void host_processes::kill(std::size_t host, duration down) {
    entry_host& of = m_hosts[host];
    if (of.process) {
        of.killed = true;
        of.down = down;
        of.process->signal(SIGKILL);
    }
}

void host_processes::pause(std::size_t host, duration still) {
    entry_host& of = m_hosts[host];
    if (!of.process) {
        return;
    }
    of.was_paused = true;
    of.process->signal(SIGSTOP);
    m_kernel->post_control_after(still, [this, host] {
        if (m_hosts[host].process) {
            m_hosts[host].process->signal(SIGCONT);
        }
    });
}

void host_processes::terminate(std::size_t host) {
    entry_host& of = m_hosts[host];
    if (!of.process || of.stopping || of.killed) {
        return;
    }
    of.stopping = std::chrono::steady_clock::now();
    of.process->signal(SIGTERM);
    m_traffic->post([id = host_id(host), at = *of.stopping](soak_traffic::world& all) {
        all.seen.planned_stops.emplace_back(id, at);
    });
}

void host_processes::repeat_terminate(std::size_t host) {
    if (m_hosts[host].process && m_hosts[host].stopping) {
        m_hosts[host].process->signal(SIGTERM);
    }
}

void host_processes::reload(std::size_t host) {
    if (!m_hosts[host].process) {
        return;
    }
    if (const auto written = write_settings(host); !written) {
        note(to_string(written.error()));
        return;
    }
    m_hosts[host].process->signal(SIGHUP);
}

} // namespace parsleypitch::soak
