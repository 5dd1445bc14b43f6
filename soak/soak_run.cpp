#include "soak_run.hpp"

#include "fault_series.hpp"
#include "host_processes.hpp"
#include "soak_traffic.hpp"

#include <algorithm>
#include <thread>

namespace parsleypitch::soak {

namespace {

/// Until then every host has read the configuration and the engines.
constexpr milliseconds first_seconds{2000};
/// Time after the last request for its answer.
constexpr milliseconds last_answers{3500};
constexpr std::uint64_t mixes = 3;

} // namespace

fault_mix mix_of_seed(std::uint64_t seed) {
    switch (seed % mixes) {
    case 0:
        return fault_mix::planned;
    case 1:
        return fault_mix::some;
    default:
        return fault_mix::many;
    }
}

result<soak_report> run_soak(const soak_plan& plan) {
    kernel host(0);
    const auto traffic = std::make_shared<soak_traffic>(plan);
    const auto processes = std::make_shared<host_processes>(plan);
    const auto faults = std::make_shared<fault_series>(plan);
    for (const std::shared_ptr<service>& each :
         std::vector<std::shared_ptr<service>>{traffic, processes, faults}) {
        BOOST_OUTCOME_TRY(host.add(each));
    }
    BOOST_OUTCOME_TRY(host.start());
    std::this_thread::sleep_for(first_seconds);
    traffic->post([](soak_traffic::world& all) { all.requests.start(); });
    host.post_control([faults] { faults->begin(); });
    std::this_thread::sleep_for(plan.faults_for);
    const promise_bounds bounds;
    const time_point calm = std::chrono::steady_clock::now();
    const bool recovers = plan.mix != fault_mix::none;
    if (recovers) {
        std::this_thread::sleep_for(bounds.recovery);
    }
    std::this_thread::sleep_for(plan.served_for);
    traffic->post([](soak_traffic::world& all) { all.requests.stop(); });
    std::this_thread::sleep_for(last_answers);
    soak_report report;
    traffic->run([&](soak_traffic::world& all) {
        all.seen.calm_since = calm;
        report.requests = all.seen.requests.size();
        report.served =
            static_cast<std::size_t>(std::count_if(all.seen.requests.begin(), all.seen.requests.end(),
                                                   [](const auto& each) { return each.second.served(); }));
        report.broken = broken_promises(all.seen, bounds, std::chrono::steady_clock::now());
    });
    host.stop();
    report.struck = faults->struck();
    return report;
}

} // namespace parsleypitch::soak
