#include "soak_run.hpp"

#include "fault_series.hpp"
#include "host_processes.hpp"
#include "soak_traffic.hpp"

#include <algorithm>
#include <thread>

namespace parsleypitch::soak {

namespace {

/// Time until every host has read the configuration and the list of engines.
constexpr milliseconds startup_time{2000};
/// Time for the last requests to be answered.
constexpr milliseconds last_answer_wait{3500};
constexpr std::uint64_t mix_count = 3;

} // namespace

fault_mix mix_of_seed(std::uint64_t seed) {
    switch (seed % mix_count) {
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
    std::this_thread::sleep_for(startup_time);
    traffic->post([](soak_traffic::testbed& bed) { bed.requests.start(); });
    host.post_control([faults] { faults->begin(); });
    std::this_thread::sleep_for(plan.fault_duration);
    const guarantee_bounds bounds;
    const time_point end_of_faults = std::chrono::steady_clock::now();
    const bool recovers = plan.mix != fault_mix::none;
    if (recovers) {
        std::this_thread::sleep_for(bounds.recovery);
    }
    std::this_thread::sleep_for(plan.recovered_duration);
    traffic->post([](soak_traffic::testbed& bed) { bed.requests.stop(); });
    std::this_thread::sleep_for(last_answer_wait);
    soak_report report;
    traffic->run([&](soak_traffic::testbed& bed) {
        bed.observed.faults_ended = end_of_faults;
        report.requests = bed.observed.requests.size();
        report.served =
            static_cast<std::size_t>(std::count_if(bed.observed.requests.begin(), bed.observed.requests.end(),
                                                   [](const auto& each) { return each.second.served(); }));
        report.violations = find_violations(bed.observed, bounds, std::chrono::steady_clock::now());
    });
    host.stop();
    report.injected = faults->injected();
    return report;
}

} // namespace parsleypitch::soak
