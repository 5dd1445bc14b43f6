#include "scenario_run.hpp"

#include "fault_injector.hpp"
#include "http_calls.hpp"
#include "load.hpp"

#include <unistd.h>

#include <array>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <sstream>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr unsigned worker_threads = 4;
constexpr milliseconds idle_window{2000};
constexpr milliseconds signal_poll{200};

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

/// Waits for a stop signal.
/// @return whether one arrived within `limit`
bool stop_signal_within(milliseconds limit) {
    constexpr long nanoseconds_per_ms = 1'000'000;
    const sigset_t signals = stop_signals();
    const timespec wait{limit.count() / 1000, limit.count() % 1000 * nanoseconds_per_ms};
    return ::sigtimedwait(&signals, nullptr, &wait) > 0;
}

/// Measures idle resource usage; starts after the fleet and before the load.
class idle_meter : public service {
  public:
    [[nodiscard]] service_name name() const override { return service_name("idle_meter"); }
    [[nodiscard]] result<void> start(kernel& host) override {
        const auto found = host.find<fleet>(service_name("fleet"));
        if (!found) {
            return found.error();
        }
        const time_point begin = std::chrono::steady_clock::now();
        m_idle.before = found.value()->usage();
        const byte_count bytes = loopback_bytes();
        std::this_thread::sleep_for(idle_window);
        m_idle.after = found.value()->usage();
        m_idle.loopback = loopback_bytes() - bytes;
        m_idle.length = std::chrono::steady_clock::now() - begin;
        return success();
    }
    [[nodiscard]] const idle_usage& idle() const noexcept { return m_idle; }

  private:
    idle_usage m_idle;
};

/// Temporary folder of one run; the destructor removes it unless it is kept.
class run_folder {
  public:
    explicit run_folder(std::function<void(const std::string&)> report) : m_report(std::move(report)) {
        std::string pattern = (std::filesystem::temp_directory_path() / "parsleypitch-bench-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
    }
    ~run_folder() {
        std::error_code ignored;
        if (m_keep) {
            m_report("settings and output of the processes are in " + m_path);
        } else {
            std::filesystem::remove_all(m_path, ignored);
        }
    }
    run_folder(const run_folder&) = delete;
    run_folder& operator=(const run_folder&) = delete;
    run_folder(run_folder&&) = delete;
    run_folder& operator=(run_folder&&) = delete;

    [[nodiscard]] const std::string& path() const noexcept { return m_path; }
    void keep(bool wanted) { m_keep = wanted; }

  private:
    std::function<void(const std::string&)> m_report;
    std::string m_path;
    bool m_keep = true;
};

std::string progress_line(const load_progress& now, duration since_start) {
    std::ostringstream line;
    line.precision(1);
    line << std::fixed << to_seconds(since_start) << " s: " << now.sent << " of " << now.scheduled
         << " requests ended, " << now.answered << " answered, " << now.refused << " refused, " << now.failed
         << " failed; in target";
    for (const rank r : all_ranks) {
        line << " " << parsleypitch::to_string(r) << " " << now.in_target[index_of(r)];
    }
    return line.str();
}

/// The services of one run.
struct run_services {
    std::shared_ptr<fleet> processes;
    std::shared_ptr<idle_meter> meter;
    std::shared_ptr<load> requests;
    std::shared_ptr<fault_injector> faults;
};

run_services make_services(const scenario& spec, const run_options& options, const std::string& folder) {
    fleet_options fleet_settings;
    fleet_settings.spec = spec.fleet;
    fleet_settings.binaries = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    fleet_settings.folder = folder;
    fleet_settings.relays = options.relays;
    fleet_settings.split = options.split;
    fleet_settings.entry_settings_extra = options.entry_settings_extra;
    return {std::make_shared<fleet>(std::move(fleet_settings)), std::make_shared<idle_meter>(),
            std::make_shared<load>(spec.fleet, draw_schedule(spec, options.seed)),
            std::make_shared<fault_injector>(spec.faults, options.report)};
}

result<void> add_services(kernel& host, const run_services& services) {
    const std::array<std::shared_ptr<service>, 4> in_order = {services.processes, services.meter,
                                                              services.requests, services.faults};
    for (const std::shared_ptr<service>& each : in_order) {
        if (auto added = host.add(each); !added) {
            return added;
        }
    }
    return success();
}

/// Collects the results that require running processes.
run_outcome collect(const run_services& services) {
    run_outcome outcome;
    outcome.arrivals = services.requests->arrivals();
    outcome.records = services.requests->records();
    outcome.idle = services.meter->idle();
    outcome.usage = services.processes->usage();
    outcome.truth = services.faults->collect_truth();
    for (const entry_plan& entry : services.processes->plan().entries) {
        if (auto text = get_text(entry.callers, "/metrics")) {
            outcome.metrics.push_back(std::move(text.value()));
        }
    }
    outcome.unexpected_ends = services.processes->unexpected_ends();
    for (const std::string& failure : services.faults->failures()) {
        outcome.unexpected_ends.push_back("fault not caused: " + failure);
    }
    outcome.check = compare_with_truth(outcome.arrivals, outcome.records, outcome.truth);
    return outcome;
}

/// Waits until all requests have ended or a stop signal arrives.
/// @return whether a stop signal came first
bool wait_for_load(kernel& host, const run_services& services, const run_options& options) {
    host.post_control_every(options.progress_interval, [&services, report = options.report] {
        if (services.requests->finished()) {
            return;
        }
        const duration since = std::chrono::steady_clock::now() - services.requests->origin();
        report(progress_line(services.requests->progress(), since));
    });
    while (!services.requests->finished()) {
        if (stop_signal_within(signal_poll)) {
            return true;
        }
    }
    return false;
}

} // namespace

void block_stop_signals() {
    const sigset_t signals = stop_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

result<run_outcome> run_scenario(const scenario& spec, const run_options& options) {
    run_folder folder(options.report);
    if (folder.path().empty()) {
        return fail(errc::unreadable_file, "cannot create the temporary folder of the run");
    }
    const run_services services = make_services(spec, options, folder.path());
    kernel host(worker_threads);
    if (auto added = add_services(host, services); !added) {
        return added.error();
    }
    options.report("starting " + std::to_string(spec.fleet.entry_hosts) + " entry hosts, " +
                   std::to_string(spec.fleet.engines) + " engines and " +
                   std::to_string(spec.fleet.services) + " plain services");
    if (auto started = host.start(); !started) {
        services.processes->stop();
        host.stop();
        return started.error();
    }
    const bool interrupted = wait_for_load(host, services, options);
    host.drain();
    run_outcome outcome = collect(services);
    host.stop();
    outcome.killed_at_stop = services.processes->killed_at_stop();
    if (interrupted) {
        return fail(errc::caller_gone, "stopped by a signal");
    }
    folder.keep(options.keep_folder || !all_passed(outcome));
    return outcome;
}

} // namespace parsleypitch::bench
