#include "http_calls.hpp"
#include "slopes_peers.hpp"
#include "slopes_relay.hpp"
#include "slopes_rig.hpp"
#include "slopes_sections.hpp"

#include <parsleypitch/core/hash.hpp>

#include <atomic>
#include <sstream>
#include <thread>

namespace parsleypitch::bench {

namespace {

const availability_zone_id own_zone("zone-01");
constexpr milliseconds adoption_limit{15'000};
constexpr milliseconds adoption_poll{5};
constexpr std::size_t accounts_for_hosts = 3500;

fleet_spec config_fleet(std::size_t entry_hosts) {
    fleet_spec spec;
    spec.zones = {own_zone};
    spec.engines = 1;
    spec.services = 0;
    spec.entry_hosts = entry_hosts;
    return spec;
}

/// The document of a fleet with `count` further accounts, of which the first has the given rank.
std::string document_with_accounts(const fleet_spec& spec, const fleet_plan& plan, std::size_t count,
                                   rank first_rank) {
    std::ostringstream out;
    out << environment_document(spec, plan, environment_name("trial"));
    for (std::size_t i = 0; i < count; ++i) {
        const std::string name = "account-" + std::to_string(i);
        out << "\n[[account]]\nid = \"" << name << "\"\nkey_sha256 = \"" << sha256_hex(name)
            << "\"\nhighest_rank = \"" << to_string(i == 0 ? first_rank : rank::normal) << "\"\n";
    }
    return out.str();
}

std::uint64_t version_at(const endpoint& callers) {
    const auto health = get_json(callers, "/healthz");
    return health ? health.value().value("config_version", std::uint64_t{0}) : 0;
}

/// Applies a changed document and measures the time from its commit until all entry hosts use it.
class timed_change {
  public:
    timed_change(slopes_rig& rig, std::vector<endpoint> callers) : m_rig(rig), m_callers(std::move(callers)) {
        m_before = version_at(m_callers.front());
    }

    result<duration> apply(const std::string& document) {
        // Polls the head object for the commit time, because the command exits after its write takes effect.
        const std::string head = head_text();
        result<void> applied = success();
        std::thread command([&] { applied = m_rig.apply(document); });
        const auto changed = wait_until([&] { return head_text() != head; });
        const auto adopted = wait_until([&] { return all_adopted(); });
        command.join();
        BOOST_OUTCOME_TRY(applied);
        if (!changed || !adopted) {
            return fail(errc::deadline_exceeded, "the change was not in force everywhere in time");
        }
        return *adopted - *changed;
    }

  private:
    [[nodiscard]] std::string head_text() const {
        const auto head = get_text(m_rig.platform(), "/v1/objects/config/production/head");
        return head ? head.value() : std::string();
    }
    [[nodiscard]] bool all_adopted() const {
        for (const endpoint& each : m_callers) {
            if (version_at(each) <= m_before) {
                return false;
            }
        }
        return true;
    }
    static std::optional<time_point> wait_until(const std::function<bool()>& reached) {
        const time_point end = std::chrono::steady_clock::now() + adoption_limit;
        while (!reached()) {
            if (std::chrono::steady_clock::now() >= end) {
                return std::nullopt;
            }
            std::this_thread::sleep_for(adoption_poll);
        }
        return std::chrono::steady_clock::now();
    }

    slopes_rig& m_rig;
    std::vector<endpoint> m_callers;
    std::uint64_t m_before = 0;
};

double ms_of(duration time) {
    constexpr double ms_per_second = 1000;
    return to_seconds(time) * ms_per_second;
}

result<void> measure_one_count(const slopes_options& options, std::size_t accounts, slopes_report& report) {
    slopes_rig rig(options.binaries, options.folder);
    BOOST_OUTCOME_TRY(rig.start_platform({}));
    const fleet_spec spec = config_fleet(1);
    const fleet_plan plan = plan_fleet(spec, [&rig] { return rig.next_endpoint(); });
    BOOST_OUTCOME_TRY(rig.apply(document_with_accounts(spec, plan, accounts, rank::normal)));
    const endpoint route = rig.next_endpoint();
    BOOST_OUTCOME_TRY(relay, counting_relay::start(route, rig.platform()));
    rig.set_platform_route(route);
    BOOST_OUTCOME_TRY(entry, rig.start_entry(plan.entries.front(), {}, ""));
    BOOST_OUTCOME_TRY(rig.start_backend(spec, plan.backends.front()));
    BOOST_OUTCOME_TRY(agent, rig.start_agent(spec, plan.backends.front(), {plan.entries.front().peers}));
    BOOST_OUTCOME_TRY(wait_until_serving(plan.entries.front().callers, 1));
    std::this_thread::sleep_for(options.settle / 2);
    const load_size size(static_cast<std::int64_t>(accounts));
    const auto add = [&](const char* name, cost_unit unit, double cost) {
        report.add(series_name(name), "accounts", unit, {size, cost});
    };
    add("config.entry.memory", cost_unit::bytes, static_cast<double>(read_usage(entry).resident.value()));
    add("config.agent.memory", cost_unit::bytes, static_cast<double>(read_usage(agent).resident.value()));
    add("config.first_fetch", cost_unit::bytes, static_cast<double>(relay->from_target().value()));
    const byte_count before = relay->from_target();
    timed_change change(rig, {plan.entries.front().callers});
    BOOST_OUTCOME_TRY(taken, change.apply(document_with_accounts(spec, plan, accounts, rank::bulk)));
    add("config.adoption", cost_unit::milliseconds, ms_of(taken));
    add("config.change_fetch", cost_unit::bytes,
        static_cast<double>((relay->from_target() - before).value()));
    add("config.entry.memory_after_change", cost_unit::bytes,
        static_cast<double>(read_usage(entry).resident.value()));
    return success();
}

} // namespace

result<void> measure_config_accounts(const slopes_options& options, slopes_report& report) {
    for (const std::size_t accounts : {100U, 3500U, 35'000U}) {
        BOOST_OUTCOME_TRY(measure_one_count(options, accounts, report));
    }
    return success();
}

result<void> measure_config_hosts(const slopes_options& options, slopes_report& report) {
    for (const std::size_t hosts : {1U, 3U, 6U}) {
        slopes_rig rig(options.binaries, options.folder);
        BOOST_OUTCOME_TRY(rig.start_platform({}));
        const fleet_spec spec = config_fleet(hosts);
        const fleet_plan plan = plan_fleet(spec, [&rig] { return rig.next_endpoint(); });
        BOOST_OUTCOME_TRY(rig.apply(document_with_accounts(spec, plan, accounts_for_hosts, rank::normal)));
        std::vector<endpoint> callers;
        for (const entry_plan& entry : plan.entries) {
            std::vector<endpoint> seeds;
            for (const entry_plan& other : plan.entries) {
                if (other.id != entry.id) {
                    seeds.push_back(other.peers);
                }
            }
            BOOST_OUTCOME_TRY(rig.start_entry(entry, seeds, ""));
            callers.push_back(entry.callers);
        }
        for (const endpoint& each : callers) {
            BOOST_OUTCOME_TRY(wait_until_serving(each, 0));
        }
        timed_change change(rig, callers);
        BOOST_OUTCOME_TRY(taken,
                          change.apply(document_with_accounts(spec, plan, accounts_for_hosts, rank::bulk)));
        report.add(series_name("config.hosts.adoption"), "entry hosts", cost_unit::milliseconds,
                   {load_size(static_cast<std::int64_t>(hosts)), ms_of(taken)});
    }
    return success();
}

} // namespace parsleypitch::bench
