#include "slopes_calls.hpp"

#include <httplib.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr int status_ok = 200;
constexpr int read_timeout_seconds = 10;

void send(httplib::Client& client, const steady_call& call, time_point intended, steady_result& seen) {
    httplib::Headers headers(call.headers.begin(), call.headers.end());
    const auto answer = client.Post(call.path, headers, call.body, "application/json");
    if (answer && answer->status == status_ok) {
        seen.latencies.push_back(std::chrono::steady_clock::now() - intended);
        return;
    }
    ++seen.failed;
    if (seen.first_failure.empty()) {
        seen.first_failure =
            answer ? std::to_string(answer->status) + " " + answer->body : httplib::to_string(answer.error());
    }
}

/// Sends the calls `first`, `first + threads`, ... at their times.
steady_result run_thread(const steady_load& load, std::size_t first, time_point origin) {
    steady_result seen;
    httplib::Client client("http://" + load.to.str());
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(read_timeout_seconds);
    for (std::size_t number = first;; number += load.threads) {
        const duration at = from_seconds(static_cast<double>(number) / load.calls_per_second);
        if (at >= load.length) {
            return seen;
        }
        std::this_thread::sleep_until(origin + at);
        send(client, load.make_call(number), origin + at, seen);
    }
}

double percentile_ms(const std::vector<duration>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    constexpr double ms_per_second = 1000;
    return to_seconds(sorted[std::max<std::size_t>(rank, 1) - 1]) * ms_per_second;
}

} // namespace

void steady_result::add(steady_result other) {
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
    failed += other.failed;
    if (first_failure.empty()) {
        first_failure = std::move(other.first_failure);
    }
}

steady_result run_steady_load(const steady_load& load) {
    std::vector<steady_result> results(load.threads);
    std::vector<std::thread> threads;
    const time_point origin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < load.threads; ++i) {
        threads.emplace_back([&, i] { results[i] = run_thread(load, i, origin); });
    }
    steady_result sum;
    for (std::size_t i = 0; i < load.threads; ++i) {
        threads[i].join();
        sum.add(std::move(results[i]));
    }
    return sum;
}

latency_figures figures_of(steady_result result) {
    std::sort(result.latencies.begin(), result.latencies.end());
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    return {percentile_ms(result.latencies, median), percentile_ms(result.latencies, high),
            result.latencies.size(), result.failed};
}

} // namespace parsleypitch::bench
