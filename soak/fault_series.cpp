#include "fault_series.hpp"

#include <parsleypitch/core/timer.hpp>

namespace parsleypitch::soak {

namespace {

constexpr milliseconds min_fault_length{200};
constexpr milliseconds max_fault_length{3000};
constexpr milliseconds min_restart_delay{100};
constexpr milliseconds max_restart_delay{1500};
constexpr milliseconds storm_period{100};
constexpr milliseconds min_draw_gap{100};
constexpr int storm_length = 6;
constexpr std::uint64_t max_series_length = 3;
constexpr milliseconds fault_gap_in_series{700};
/// Time that a restarted host needs until it serves.
constexpr milliseconds host_start_time{1000};
/// Time for which an engine states a condition, or until it has left.
constexpr milliseconds statement_time{4000};
constexpr milliseconds statement_period{1500};
constexpr milliseconds stated_retry_after{2000};
/// Gaps between series are 0, 1 or 2 times the mean.
constexpr std::uint64_t series_gap_factors = 3;
/// Probability of a fault for each request to an affected engine, in percent.
constexpr std::uint64_t fault_percent = 30;
constexpr std::uint64_t reset_percent = 60;

/// Mean time between the starts of two series.
duration mean_series_gap(fault_mix mix) {
    return mix == fault_mix::many ? milliseconds(500) : milliseconds(2500);
}

using testbed = soak_traffic::testbed;

template <class Value>
struct named {
    std::string name;
    Value value;
};

engine_stand_in& any_engine(testbed& bed) {
    return *bed.engines[bed.random(bed.engines.size())];
}

time_span span_of(duration length) {
    const time_point now = std::chrono::steady_clock::now();
    return {now, now + length + host_start_time};
}

/// Link `n` in front of the engines leads to engine `n`.
void note_link_interruption(testbed& bed, const std::vector<std::unique_ptr<bench::relay_link>>& links,
                            std::size_t index, duration length) {
    if (&links == &bed.engine_links) {
        bed.observed.interruptions.push_back({std::nullopt, bed.engines[index]->plan().id, span_of(length)});
    }
}

} // namespace

fault_series::fault_series(soak_plan plan)
    : m_plan(std::move(plan)), m_random(seeded_random_hook(m_plan.seed + 1)),
      m_statement_random(seeded_random_hook(m_plan.seed + 2)) {
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
        add_engine_statements();
        add_store_restore();
    }
    return success();
}

std::size_t fault_series::any_host() const {
    return m_random(m_plan.entry_hosts);
}

duration fault_series::between(milliseconds shortest, milliseconds longest) const {
    return shortest + milliseconds(m_random(static_cast<std::uint64_t>((longest - shortest).count())));
}

void fault_series::add(std::string name, std::function<void(duration)> inject) {
    m_kinds.push_back({std::move(name), false, std::move(inject)});
}

void fault_series::add_planned(std::string name, std::function<void()> inject) {
    m_kinds.push_back({std::move(name), true, [inject = std::move(inject)](duration) { inject(); }});
}

void fault_series::add_operator_work() {
    add_planned("configuration", [this] { configure(); });
    add_planned("configuration_storm", [this] {
        for (int change = 0; change < storm_length; ++change) {
            m_kernel->post_control_after(storm_period * change, [this] { configure(); });
        }
    });
    add_planned("host_reload", [this] { m_hosts->reload(any_host()); });
    add_planned("host_stop", [this] { m_hosts->terminate(any_host()); });
    add_planned("engine_leaves", [this] {
        m_traffic->post([this](testbed& bed) {
            engine_stand_in& leaving = any_engine(bed);
            leaving.leave();
            replace_engine(leaving.plan());
        });
    });
}

void fault_series::configure() {
    m_traffic->post([](testbed& bed) { bed.configure(); });
}

void fault_series::add_host_faults() {
    add("host_kill",
        [this](duration) { m_hosts->kill(any_host(), between(min_restart_delay, max_restart_delay)); });
    add("all_hosts_kill", [this](duration) {
        for (std::size_t host = 0; host < m_plan.entry_hosts; ++host) {
            m_hosts->kill(host, between(min_restart_delay, max_restart_delay));
        }
    });
    add("host_pause", [this](duration length) {
        const std::size_t host = any_host();
        note_interruption({host_id(host), std::nullopt, span_of(length)});
        m_hosts->pause(host, length);
    });
}

void fault_series::add_link_faults() {
    const std::vector<named<links_of>> places = {
        {"caller_link", [](testbed& bed) -> links& { return bed.caller_links; }},
        {"store_link", [](testbed& bed) -> links& { return bed.store_links; }},
        {"engine_link", [](testbed& bed) -> links& { return bed.engine_links; }}};
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
        add(place.name + "_resets", [this, select = place.value](duration) {
            m_traffic->post([select](testbed& bed) {
                const std::size_t index = bed.random(select(bed).size());
                note_link_interruption(bed, select(bed), index, duration::zero());
                select(bed)[index]->reset_connections(reset_percent, bed.random);
            });
        });
    }
}

std::function<void(duration)> fault_series::disturb_link(links_of select, bench::link_condition condition) {
    return [this, select = std::move(select), condition](duration length) {
        m_traffic->post([select, condition, length](testbed& bed) {
            const std::size_t index = bed.random(select(bed).size());
            bench::relay_link* link = select(bed)[index].get();
            note_link_interruption(bed, select(bed), index, length);
            link->set(condition);
            start_timer(bed.context, length, [link] { link->set({}); });
        });
    };
}

void fault_series::add_store_faults() {
    const std::vector<named<store_condition>> conditions = {
        {"store_resets", {store_response_mode::resets, {}, 0}},
        {"store_silent", {store_response_mode::silence, {}, 0}},
        {"store_busy", {store_response_mode::busy, {}, 0}},
        {"store_rate_limited", {store_response_mode::rate_limited, {}, 0}},
        {"store_slow", {store_response_mode::normal, milliseconds(400), 0}},
        {"store_loses_answers", {store_response_mode::normal, {}, fault_percent}}};
    for (const named<store_condition>& each : conditions) {
        add(each.name, [this, condition = each.value](duration length) {
            m_traffic->post([condition, length](testbed& bed) {
                bed.store.set(condition);
                start_timer(bed.context, length, [&bed] { bed.store.set({}); });
            });
        });
    }
    add("store_forgets",
        [this](duration) { m_traffic->post([](testbed& bed) { bed.store.discard_history(); }); });
}

void fault_series::add_engine_faults() {
    const std::vector<named<engine_condition>> conditions = {
        {"engine_refuses", {fault_percent, 0, 0, 0, 0, 0, 1}},
        {"engine_fails", {0, fault_percent, 0, 0, 0, 0, 1}},
        {"engine_loses_answers", {0, 0, fault_percent, 0, 0, 0, 1}},
        {"engine_breaks_events", {0, 0, 0, fault_percent / 4, 0, 0, 1}},
        {"engine_answers_foreign", {0, 0, 0, 0, fault_percent, 0, 1}},
        {"engine_hangs", {0, 0, 0, 0, 0, fault_percent, 1}},
        {"engine_slow", {0, 0, 0, 0, 0, 0, 5}}};
    for (const named<engine_condition>& each : conditions) {
        add(each.name, [this, condition = each.value](duration length) {
            m_traffic->post([condition, length](testbed& bed) {
                engine_stand_in* engine = &any_engine(bed);
                engine->set(condition);
                start_timer(bed.context, length, [engine] { engine->set({}); });
            });
        });
    }
    add("engine_crash", [this](duration) {
        m_traffic->post([this](testbed& bed) {
            engine_stand_in& ended_engine = any_engine(bed);
            ended_engine.crash();
            replace_engine(ended_engine.plan());
        });
    });
}

void fault_series::add_engine_statements() {
    m_statements.push_back({"engine_asks_for_time", false, [this](duration length) {
                                m_traffic->post([length](testbed& bed) {
                                    engine_condition condition;
                                    condition.refuse_percent = fault_percent;
                                    condition.retry_after = stated_retry_after;
                                    engine_stand_in* engine = &any_engine(bed);
                                    engine->set(condition);
                                    start_timer(bed.context, length, [engine] { engine->set({}); });
                                });
                            }});
    m_statements.push_back({"engine_leaves_unlisted", false, [this](duration) {
                                m_traffic->post([this](testbed& bed) {
                                    engine_stand_in& leaving = any_engine(bed);
                                    leaving.leave_unlisted();
                                    replace_engine(leaving.plan());
                                });
                            }});
}

void fault_series::add_store_restore() {
    m_statements.push_back({"store_restored", false, [this](duration length) {
                                m_traffic->post([length](testbed& bed) {
                                    bed.store.make_copy();
                                    start_timer(bed.context, length / 2, [&bed] { bed.store.restore(); });
                                });
                            }});
}

void fault_series::note_interruption(observed_interruption interruption) {
    m_traffic->post([interruption = std::move(interruption)](testbed& bed) {
        bed.observed.interruptions.push_back(interruption);
    });
}

void fault_series::replace_engine(const engine_plan& ended_engine) {
    m_kernel->post_control_after(between(min_restart_delay, max_restart_delay), [this, ended_engine] {
        m_traffic->post([ended_engine](testbed& bed) {
            if (const auto added = bed.add_engine(ended_engine.service, ended_engine.role); !added) {
                bed.observed.anomalies.push_back(to_string(added.error()));
            }
        });
    });
}

void fault_series::begin() {
    m_began = std::chrono::steady_clock::now();
    if (m_plan.mix != fault_mix::none) {
        draw_next();
    }
    if (!m_statements.empty()) {
        draw_statement();
    }
}

void fault_series::draw_statement() {
    const duration passed = std::chrono::steady_clock::now() - m_began;
    if (passed > m_plan.fault_duration - max_fault_length - statement_time) {
        return;
    }
    const fault_kind& kind = m_statements[m_statement_random(m_statements.size())];
    inject(kind, statement_time);
    m_kernel->post_control_after(statement_period, [this] { draw_statement(); });
}

void fault_series::draw_next() {
    const duration gap = mean_series_gap(m_plan.mix) * static_cast<int>(m_random(series_gap_factors));
    const time_point now = std::chrono::steady_clock::now();
    const duration last_start = m_plan.fault_duration - max_fault_length;
    if (now - m_began > last_start) {
        return;
    }
    const fault_kind& kind = m_kinds[m_random(m_kinds.size())];
    const std::uint64_t repetitions = 1 + m_random(max_series_length);
    for (std::uint64_t index = 0; index < repetitions; ++index) {
        m_kernel->post_control_after(fault_gap_in_series * static_cast<int>(index), [this, &kind] {
            inject(kind, between(min_fault_length, max_fault_length));
        });
    }
    m_kernel->post_control_after(gap + min_draw_gap, [this] { draw_next(); });
}

void fault_series::inject(const fault_kind& kind, duration length) {
    const time_point now = std::chrono::steady_clock::now();
    const auto after_ms = std::chrono::duration_cast<milliseconds>(now - m_began).count();
    const auto length_ms = std::chrono::duration_cast<milliseconds>(length).count();
    m_injected.push_back(std::to_string(after_ms) + " ms: " + kind.name + " for " +
                         std::to_string(length_ms) + " ms");
    if (!kind.planned) {
        m_traffic->post([span = time_span{now, now + length + host_start_time}](testbed& bed) {
            bed.observed.disturbances.push_back(span);
        });
    }
    kind.inject(length);
}

} // namespace parsleypitch::soak
