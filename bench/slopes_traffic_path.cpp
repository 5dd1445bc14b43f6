#include "http_calls.hpp"
#include "slopes_calls.hpp"
#include "slopes_rig.hpp"
#include "slopes_sections.hpp"

#include <httplib.h>

#include <atomic>
#include <thread>

namespace parsleypitch::bench {

namespace {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// One entry host with backend servers and their agents, ready to serve.
struct serving_fleet {
    entry_plan entry;
    pid_t entry_id = -1;
    fleet_plan plan;
    std::vector<pid_t> agent_ids;
};

result<serving_fleet> start_fleet(slopes_rig& rig, const fleet_spec& spec, const std::string& entry_extra) {
    serving_fleet started;
    started.plan = plan_fleet(spec, [&rig] { return rig.next_endpoint(); });
    started.entry = started.plan.entries.front();
    BOOST_OUTCOME_TRY(rig.apply(environment_document(spec, started.plan, environment_name("trial"))));
    BOOST_OUTCOME_TRY(entry_id, rig.start_entry(started.entry, {}, entry_extra));
    started.entry_id = entry_id;
    for (const backend_plan& backend : started.plan.backends) {
        BOOST_OUTCOME_TRY(rig.start_backend(spec, backend));
        BOOST_OUTCOME_TRY(agent_id, rig.start_agent(spec, backend, {started.entry.peers}));
        started.agent_ids.push_back(agent_id);
    }
    BOOST_OUTCOME_TRY(wait_until_serving(started.entry.callers, started.plan.backends.size()));
    return started;
}

fleet_spec service_fleet() {
    fleet_spec spec;
    spec.zones = {availability_zone_id("zone-01")};
    spec.engines = 0;
    spec.services = 1;
    spec.entry_hosts = 1;
    spec.slots = request_count(64);
    spec.service_options = {"--slots", "64", "--operation", "hold=5", "--operation", "lookup=2"};
    return spec;
}

header_list caller_headers() {
    return {{"Authorization", "Bearer " + account_key(rank::urgent)}, {"X-Rank", "urgent"}};
}

std::int64_t writes_so_far(const endpoint& platform) {
    const auto truth = get_json(platform, "/admin/truth");
    return truth ? static_cast<std::int64_t>(truth.value()["writes"].size()) : 0;
}

double resident(pid_t id) {
    return static_cast<double>(read_usage(id).resident.value());
}

/// Returns a load in which each call holds a distinct slot.
steady_load hold_load(const endpoint& to, double rate, duration length, const std::string& run) {
    steady_load holds;
    holds.to = to;
    holds.calls_per_second = rate;
    holds.length = length;
    holds.threads = 96;
    holds.make_call = [run](std::size_t number) {
        const std::string name = run + "-" + std::to_string(number);
        header_list headers = caller_headers();
        headers.emplace_back("Idempotency-Key", name);
        return steady_call{"/v1/services/booking/hold", headers,
                           R"({"slot":"slot-)" + name + R"(","party":"party-)" + name + R"("})"};
    };
    return holds;
}

} // namespace

result<void> measure_claims(const slopes_options& options, slopes_report& report) {
    const fleet_spec spec = service_fleet();
    for (const int rate : {50, 200, 400}) {
        slopes_rig rig(options.binaries, options.folder);
        // Raises the platform's write limit, so that it does not cap the measured write rate.
        BOOST_OUTCOME_TRY(rig.start_platform({"--writes-per-second", "20000", "--latency-ms", "5"}));
        BOOST_OUTCOME_TRY(fleet, start_fleet(rig, spec, ""));
        // Warms up connections, threads and the first reads of the partitions.
        (void)run_steady_load(hold_load(fleet.entry.callers, rate, seconds(1), "warm"));
        const std::int64_t writes = writes_so_far(rig.platform());
        const double memory = resident(fleet.entry_id);
        const steady_result seen =
            run_steady_load(hold_load(fleet.entry.callers, rate, options.window, "run"));
        const auto answered = static_cast<double>(seen.latencies.size());
        if (!(answered > 0)) {
            return fail(errc::backend_refused, "no hold was answered: " + seen.first_failure);
        }
        const double elapsed = to_seconds(options.window);
        report.add(series_name("claims.writes"), "calls per second", cost_unit::calls_per_second,
                   {load_size(rate), static_cast<double>(writes_so_far(rig.platform()) - writes) / elapsed});
        report.add(series_name("claims.answered"), "calls per second", cost_unit::calls_per_second,
                   {load_size(rate), answered / elapsed});
        report.add(series_name("claims.memory"), "keys recorded", cost_unit::bytes,
                   {load_size(static_cast<std::int64_t>(answered)), resident(fleet.entry_id) - memory});
        report.add(series_name("claims.latency_p50"), "calls per second", cost_unit::milliseconds,
                   {load_size(rate), figures_of(seen).p50_ms});
    }
    return success();
}

namespace {

/// Streams that are read until destruction cancels them.
class live_streams {
  public:
    live_streams(const endpoint& to, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            m_threads.emplace_back([this, to, i] { read(to, i); });
        }
    }
    live_streams(const live_streams&) = delete;
    live_streams& operator=(const live_streams&) = delete;
    live_streams(live_streams&&) = delete;
    live_streams& operator=(live_streams&&) = delete;
    ~live_streams() {
        m_stopping = true;
        for (std::thread& each : m_threads) {
            each.join();
        }
    }

    /// Streams that have received at least one token and have not ended.
    [[nodiscard]] std::size_t open() const { return m_open; }

  private:
    void read(const endpoint& to, std::size_t number) {
        httplib::Client client("http://" + to.str());
        client.set_read_timeout(20);
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/completions";
        for (const auto& [name, value] : caller_headers()) {
            request.set_header(name, value);
        }
        request.set_header("Content-Type", "application/json");
        request.body = R"({"model":"drafting","prompt":"prompt )" + std::to_string(number) +
                       R"(","max_tokens":4000,"stream":true})";
        bool counted = false;
        request.content_receiver = [&](const char*, std::size_t, std::uint64_t, std::uint64_t) {
            m_open += counted ? 0 : 1;
            counted = true;
            return !m_stopping;
        };
        (void)client.send(request);
        m_open -= counted ? 1 : 0;
    }

    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_open = 0;
    std::vector<std::thread> m_threads;
};

fleet_spec streams_fleet() {
    fleet_spec spec;
    spec.zones = {availability_zone_id("zone-01")};
    spec.engines = 4;
    spec.services = 0;
    spec.entry_hosts = 1;
    spec.slots = request_count(160);
    // Decode step of 42 ms, the target time between tokens, independent of the batch size.
    spec.engine_options = {"--slots",           "160", "--base-ms",   "42",
                           "--per-sequence-ms", "0",   "--kv-blocks", "100000"};
    return spec;
}

} // namespace

result<void> measure_streams(const slopes_options& options, slopes_report& report) {
    for (const std::size_t count : {50U, 200U, 580U}) {
        slopes_rig rig(options.binaries, options.folder);
        BOOST_OUTCOME_TRY(rig.start_platform({}));
        BOOST_OUTCOME_TRY(fleet, start_fleet(rig, streams_fleet(), "caller_threads = 700\n"));
        const live_streams streams(fleet.entry.callers, count);
        std::this_thread::sleep_for(options.settle);
        const std::size_t open = streams.open();
        const process_usage before = read_usage(fleet.entry_id);
        const process_usage agent_before = read_usage(fleet.agent_ids.front());
        const time_point start = std::chrono::steady_clock::now();
        std::this_thread::sleep_for(options.window);
        const double elapsed = to_seconds(std::chrono::steady_clock::now() - start);
        const process_usage after = read_usage(fleet.entry_id);
        const process_usage agent_after = read_usage(fleet.agent_ids.front());
        const load_size size(static_cast<std::int64_t>(open));
        report.add(series_name("streams.memory"), "live streams", cost_unit::bytes,
                   {size, static_cast<double>(after.resident.value())});
        report.add(series_name("streams.processor"), "live streams", cost_unit::core_share,
                   {size, to_seconds(after.processor_time - before.processor_time) / elapsed});
        const load_size share(static_cast<std::int64_t>(open / fleet.agent_ids.size()));
        report.add(series_name("streams.agent.memory"), "live streams of the agent", cost_unit::bytes,
                   {share, static_cast<double>(agent_after.resident.value())});
        report.add(series_name("streams.agent.processor"), "live streams of the agent", cost_unit::core_share,
                   {share, to_seconds(agent_after.processor_time - agent_before.processor_time) / elapsed});
        if (open < count * 9 / 10) {
            report.failures.push_back("streams: only " + std::to_string(open) + " of " +
                                      std::to_string(count) + " streams were open");
        }
    }
    return success();
}

result<latency_report> measure_latency(const slopes_options& options) {
    slopes_rig rig(options.binaries, options.folder);
    BOOST_OUTCOME_TRY(rig.start_platform({}));
    BOOST_OUTCOME_TRY(fleet, start_fleet(rig, service_fleet(), ""));
    latency_report report;
    report.calls_per_second = 1000;
    steady_load through;
    through.calls_per_second = report.calls_per_second;
    through.length = seconds(1);
    steady_load direct = through;
    through.to = fleet.entry.callers;
    through.make_call = [](std::size_t number) {
        return steady_call{"/v1/services/booking/lookup", caller_headers(),
                           R"({"item":"item-)" + std::to_string(number) + R"("})"};
    };
    direct.to = fleet.plan.backends.front().backend;
    direct.make_call = [](std::size_t number) {
        return steady_call{"/v1/call/lookup",
                           {{"X-Request-Id", "direct-" + std::to_string(number)}},
                           R"({"item":"item-)" + std::to_string(number) + R"("})"};
    };
    (void)run_steady_load(direct);
    (void)run_steady_load(through);
    // Alternates between the paths, so that changes of machine load affect both.
    const auto turns = std::max<std::int64_t>(1, options.window / seconds(1));
    steady_result direct_seen;
    steady_result through_seen;
    for (std::int64_t turn = 0; turn < turns; ++turn) {
        direct_seen.add(run_steady_load(direct));
        through_seen.add(run_steady_load(through));
    }
    if (through_seen.latencies.empty()) {
        return fail(errc::backend_refused, "no lookup was answered: " + through_seen.first_failure);
    }
    report.direct = figures_of(std::move(direct_seen));
    report.through = figures_of(std::move(through_seen));
    return report;
}

} // namespace parsleypitch::bench
