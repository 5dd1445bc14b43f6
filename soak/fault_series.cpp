#include "fault_series.hpp"

#include <parsleypitch/core/timer.hpp>

namespace parsleypitch::soak {

namespace {

constexpr milliseconds shortest_fault{200};
constexpr milliseconds longest_fault{3000};
constexpr milliseconds shortest_down{100};
constexpr milliseconds longest_down{1500};
constexpr milliseconds storm_gap{100};
constexpr milliseconds least_gap{100};
constexpr int storm_length = 6;
constexpr std::uint64_t longest_series = 3;
constexpr milliseconds series_gap{700};
/// A host that starts needs this long until it serves.
constexpr milliseconds start_time{1000};
/// Gaps between series are drawn from none to twice the mean.
constexpr std::uint64_t longest_gap = 3;
/// Chance of trouble at an engine that has it, in percent.
constexpr std::uint64_t trouble_percent = 30;
constexpr std::uint64_t reset_percent = 60;

/// Mean time between the beginnings of two series.
duration mean_gap(fault_mix mix) {
    return mix == fault_mix::many ? milliseconds(500) : milliseconds(2500);
}

using world = soak_traffic::world;

template <class Value>
struct named {
    std::string name;
    Value value;
};

engine_stand_in& any_engine(world& all) {
    return *all.engines[all.random(all.engines.size())];
}

} // namespace

fault_series::fault_series(soak_plan plan)
    : m_plan(std::move(plan)), m_random(seeded_random_hook(m_plan.seed + 1)) {
}

result<void> fault_series::start(kernel& host) {
    m_kernel = &host;
    BOOST_OUTCOME_TRY(traffic, host.find<soak_traffic>(soak_traffic_name));
    BOOST_OUTCOME_TRY(hosts, host.find<host_processes>(host_processes_name));
    m_traffic = traffic;
    m_hosts = hosts;
    add_operator_work();
    if (m_plan.mix == fault_mix::some || m_plan.mix == fault_mix::many) {
        add_host_faults();
        add_link_faults();
        add_store_faults();
        add_engine_faults();
    }
    return success();
}

std::size_t fault_series::any_host() const {
    return m_random(m_plan.entry_hosts);
}

duration fault_series::between(milliseconds least, milliseconds most) const {
    return least + milliseconds(m_random(static_cast<std::uint64_t>((most - least).count())));
}

void fault_series::add(std::string name, std::function<void(duration)> strike) {
    m_kinds.push_back({std::move(name), false, std::move(strike)});
}

void fault_series::add_planned(std::string name, std::function<void()> strike) {
    m_kinds.push_back({std::move(name), true, [strike = std::move(strike)](duration) { strike(); }});
}

void fault_series::add_operator_work() {
    add_planned("configuration", [this] { configure(); });
    add_planned("configuration_storm", [this] {
        for (int change = 0; change < storm_length; ++change) {
            m_kernel->post_control_after(storm_gap * change, [this] { configure(); });
        }
    });
    add_planned("host_reload", [this] { m_hosts->reload(any_host()); });
    add_planned("host_stop", [this] { m_hosts->terminate(any_host()); });
    add_planned("engine_leaves", [this] {
        m_traffic->post([this](world& all) {
            engine_stand_in& leaving = any_engine(all);
            leaving.leave();
            replace_engine(leaving.plan());
        });
    });
}

void fault_series::configure() {
    m_traffic->post([](world& all) { all.configure(); });
}

void fault_series::add_host_faults() {
    add("host_kill", [this](duration) { m_hosts->kill(any_host(), between(shortest_down, longest_down)); });
    add("all_hosts_kill", [this](duration) {
        for (std::size_t host = 0; host < m_plan.entry_hosts; ++host) {
            m_hosts->kill(host, between(shortest_down, longest_down));
        }
    });
    add("host_pause", [this](duration lasts) { m_hosts->pause(any_host(), lasts); });
}

void fault_series::add_link_faults() {
    const std::vector<named<links_of>> places = {
        {"caller_link", [](world& all) -> links& { return all.caller_links; }},
        {"store_link", [](world& all) -> links& { return all.store_links; }},
        {"engine_link", [](world& all) -> links& { return all.engine_links; }}};
    const std::vector<named<bench::link_condition>> conditions = {
        {"_slow", {milliseconds(150), false, false, false}},
        {"_refuses", {{}, true, false, false}},
        {"_silent", {{}, false, true, true}},
        {"_loses_requests", {{}, false, true, false}},
        {"_loses_answers", {{}, false, false, true}}};
    for (const named<links_of>& place : places) {
        for (const named<bench::link_condition>& condition : conditions) {
            add(place.name + condition.name, disturb_link(place.value, condition.value));
        }
        add(place.name + "_resets", [this, of = place.value](duration) {
            m_traffic->post([of](world& all) {
                of(all)[all.random(of(all).size())]->reset_connections(reset_percent, all.random);
            });
        });
    }
}

std::function<void(duration)> fault_series::disturb_link(links_of of, bench::link_condition condition) {
    return [this, of = std::move(of), condition](duration lasts) {
        m_traffic->post([of, condition, lasts](world& all) {
            bench::relay_link* link = of(all)[all.random(of(all).size())].get();
            link->set(condition);
            start_timer(all.context, lasts, [link] { link->set({}); });
        });
    };
}

void fault_series::add_store_faults() {
    const std::vector<named<store_condition>> conditions = {
        {"store_resets", {store_answers::resets, {}, 0}},
        {"store_silent", {store_answers::silence, {}, 0}},
        {"store_busy", {store_answers::busy, {}, 0}},
        {"store_rate_limited", {store_answers::rate_limited, {}, 0}},
        {"store_slow", {store_answers::normal, milliseconds(400), 0}},
        {"store_loses_answers", {store_answers::normal, {}, trouble_percent}}};
    for (const named<store_condition>& each : conditions) {
        add(each.name, [this, condition = each.value](duration lasts) {
            m_traffic->post([condition, lasts](world& all) {
                all.store.set(condition);
                start_timer(all.context, lasts, [&all] { all.store.set({}); });
            });
        });
    }
    add("store_forgets",
        [this](duration) { m_traffic->post([](world& all) { all.store.forget_history(); }); });
}

void fault_series::add_engine_faults() {
    const std::vector<named<engine_condition>> conditions = {
        {"engine_refuses", {trouble_percent, 0, 0, 0, 0, 0, 1}},
        {"engine_fails", {0, trouble_percent, 0, 0, 0, 0, 1}},
        {"engine_loses_answers", {0, 0, trouble_percent, 0, 0, 0, 1}},
        {"engine_breaks_events", {0, 0, 0, trouble_percent / 4, 0, 0, 1}},
        {"engine_answers_foreign", {0, 0, 0, 0, trouble_percent, 0, 1}},
        {"engine_hangs", {0, 0, 0, 0, 0, trouble_percent, 1}},
        {"engine_slow", {0, 0, 0, 0, 0, 0, 5}}};
    for (const named<engine_condition>& each : conditions) {
        add(each.name, [this, condition = each.value](duration lasts) {
            m_traffic->post([condition, lasts](world& all) {
                engine_stand_in* engine = &any_engine(all);
                engine->set(condition);
                start_timer(all.context, lasts, [engine] { engine->set({}); });
            });
        });
    }
    add("engine_crash", [this](duration) {
        m_traffic->post([this](world& all) {
            engine_stand_in& lost = any_engine(all);
            lost.crash();
            replace_engine(lost.plan());
        });
    });
}

void fault_series::replace_engine(const engine_plan& lost) {
    m_kernel->post_control_after(between(shortest_down, longest_down), [this, lost] {
        m_traffic->post([lost](world& all) {
            if (const auto added = all.add_engine(lost.service, lost.role); !added) {
                all.seen.strays.push_back(to_string(added.error()));
            }
        });
    });
}

void fault_series::begin() {
    m_began = std::chrono::steady_clock::now();
    if (m_plan.mix != fault_mix::none) {
        draw_next();
    }
}

void fault_series::draw_next() {
    const duration gap = mean_gap(m_plan.mix) * static_cast<int>(m_random(longest_gap));
    const time_point now = std::chrono::steady_clock::now();
    const duration last_start = m_plan.faults_for - longest_fault;
    if (now - m_began > last_start) {
        return;
    }
    const fault_kind& kind = m_kinds[m_random(m_kinds.size())];
    const std::uint64_t times = 1 + m_random(longest_series);
    for (std::uint64_t turn = 0; turn < times; ++turn) {
        m_kernel->post_control_after(series_gap * static_cast<int>(turn), [this, &kind] { strike(kind); });
    }
    m_kernel->post_control_after(gap + least_gap, [this] { draw_next(); });
}

void fault_series::strike(const fault_kind& kind) {
    const time_point now = std::chrono::steady_clock::now();
    const duration lasts = between(shortest_fault, longest_fault);
    const auto after_ms = std::chrono::duration_cast<milliseconds>(now - m_began).count();
    const auto lasts_ms = std::chrono::duration_cast<milliseconds>(lasts).count();
    m_struck.push_back(std::to_string(after_ms) + " ms: " + kind.name + " for " + std::to_string(lasts_ms) +
                       " ms");
    if (!kind.planned) {
        m_traffic->post([span = time_span{now, now + lasts + start_time}](world& all) {
            all.seen.disturbances.push_back(span);
        });
    }
    kind.strike(lasts);
}

} // namespace parsleypitch::soak
