#include <parsleypitch/admission/admission_control.hpp>
#include <parsleypitch/admission/rank_queue.hpp>
#include <parsleypitch/core/hooks.hpp>
#include <parsleypitch/routing/routing.hpp>

#include <benchmark/benchmark.h>

#include <random>

namespace parsleypitch {
namespace {

const time_point start_time{seconds(1000)};
constexpr std::int64_t target_accounts = 35'000;
constexpr std::uint64_t zone_count = 14;

/// An unlocked generator, so that the mutex of `seeded_random_hook` is not measured.
random_hook unlocked_random() {
    return [engine = std::mt19937_64(1)](std::uint64_t bound) mutable { return engine() % bound; };
}

std::shared_ptr<const fleet_view> make_fleet(std::int64_t servers) {
    auto view = std::make_shared<fleet_view>();
    const random_hook random = unlocked_random();
    for (std::int64_t i = 0; i < servers; ++i) {
        member m;
        m.id = "engine-" + std::to_string(i);
        m.zone = availability_zone_id("zone-" + std::to_string(random(zone_count)));
        m.engine.model = model_id("assistant");
        m.engine.version = model_version("1");
        m.load.slots = request_count(128);
        m.load.expected_wait.fill(milliseconds(random(500)));
        m.load.measured_at = start_time;
        view->members.push_back(std::move(m));
    }
    return view;
}

routing_request make_request() {
    routing_request request;
    request.own_zone = availability_zone_id("zone-0");
    request.model = model_id("assistant");
    request.versions = {model_version("1")};
    request.prompt = token_count(2000);
    for (std::uint64_t i = 0; i < 4; ++i) {
        request.prefixes.push_back({prefix_hash(i), token_count(2000 - 500 * static_cast<std::int64_t>(i))});
    }
    return request;
}

void choose_server(benchmark::State& state) {
    const fleet_index fleet(make_fleet(state.range(0)));
    const routing_request request = make_request();
    prefix_index prefixes;
    in_flight_tracker ledger;
    const random_hook random = unlocked_random();
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        const auto server = random(static_cast<std::uint64_t>(state.range(0)));
        prefixes.note_sent(backend_server_id("engine-" + std::to_string(server)), prefix_hash(i % 1000),
                           start_time);
    }
    routing_policy policy;
    policy.prefixes = &prefixes;
    policy.in_flight_since = [&ledger](const backend_server_id& id, time_point t) {
        return ledger.since(id, t);
    };
    policy.link_delay = [](const availability_zone_id&, const availability_zone_id&) {
        return milliseconds(4);
    };
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(choose_backend_server(fleet, request, policy, random, start_time));
    }
}
BENCHMARK(choose_server)->Arg(10)->Arg(100)->Arg(1800);

void build_fleet_index(benchmark::State& state) {
    const auto view = make_fleet(state.range(0));
    while (state.KeepRunning()) {
        const fleet_index fleet(view);
        benchmark::DoNotOptimize(&fleet);
    }
}
BENCHMARK(build_fleet_index)->Arg(10)->Arg(100)->Arg(1800);

void summarise_reports(benchmark::State& state) {
    const auto view = make_fleet(state.range(0));
    std::vector<backend_load_report> reports;
    for (const member& m : view->members) {
        reports.push_back(m.load);
    }
    while (state.KeepRunning()) {
        benchmark::DoNotOptimize(summarise_load(reports));
    }
}
BENCHMARK(summarise_reports)->Arg(10)->Arg(100)->Arg(1800);

std::vector<caller_id> make_accounts(std::int64_t count) {
    std::vector<caller_id> accounts;
    for (std::int64_t i = 0; i < count; ++i) {
        accounts.emplace_back("account-" + std::to_string(i));
    }
    return accounts;
}

/// Checks, starts and finishes one request while every account has one request in flight.
void admit(benchmark::State& state) {
    const std::vector<caller_id> accounts = make_accounts(state.range(0));
    admission_control control({});
    const auto request = [&accounts](std::size_t i) {
        return admission_request{rank::normal, accounts[i % accounts.size()], 1, milliseconds(100),
                                 start_time + seconds(30)};
    };
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        control.start(request(i));
    }
    load_summary load;
    load.servers = 1;
    load.slots = request_count(128);
    load.expected_wait.fill(milliseconds(2500)); // under pressure, so that the share is checked
    std::size_t next = 0;
    while (state.KeepRunning()) {
        const admission_request r = request(next += 7919);
        benchmark::DoNotOptimize(control.check(r, load, duration(0), start_time));
        control.start(r);
        control.finish(r);
    }
}
BENCHMARK(admit)->Arg(10)->Arg(1000)->Arg(target_accounts);

/// Pushes, starts and finishes one entry at a constant queue length, with entries of random accounts.
void queue_push_and_pop(benchmark::State& state) {
    const auto length = static_cast<std::size_t>(state.range(0));
    const std::vector<caller_id> accounts = make_accounts(state.range(1));
    rank_queue queue({.slots = 128, .floors = {0.3, 0.2, 0.1}, .capacity = 2 * length});
    const random_hook random = unlocked_random();
    std::uint64_t id = 0;
    time_point now = start_time;
    const auto push = [&] {
        const caller_id& account = accounts[random(accounts.size())];
        return queue.push({queue_entry_id(++id), all_ranks[random(rank_count)], account, 1, milliseconds(10),
                           now, now + std::chrono::hours(10), random(2) == 0},
                          now);
    };
    for (std::size_t i = 0; i < length; ++i) {
        benchmark::DoNotOptimize(push());
    }
    while (state.KeepRunning()) {
        now += microseconds(100);
        benchmark::DoNotOptimize(push());
        if (const auto started = queue.start_next(now)) {
            queue.finish(started->id, started->cost, now);
        }
    }
    state.counters["waiting"] = static_cast<double>(queue.waiting());
}
BENCHMARK(queue_push_and_pop)->ArgsProduct({{10, 100, 1000, 10'000}, {10, target_accounts}});

} // namespace
} // namespace parsleypitch
