#include "slopes_peers.hpp"
#include "slopes_rig.hpp"
#include "slopes_sections.hpp"
#include "slopes_usage.hpp"

#include <array>

namespace parsleypitch::bench {

namespace {

const availability_zone_id own_zone("zone-01");
// Number of local engines while the cost of other zones is measured, enough to fill every digest group.
constexpr std::size_t engines_beside_zones = 60;
// Four models with eight engines each, as the relays of the target fleet report them.
constexpr std::size_t digest_engines = 32;
constexpr std::size_t relays_per_zone = 2;

/// A measured entry host and its simulated peers.
struct measured_entry_host {
    entry_plan entry;
    std::vector<simulated_host> hosts;
    std::unique_ptr<simulated_hosts> server;
    std::unique_ptr<simulated_senders> senders;
    pid_t id = -1;

    [[nodiscard]] std::vector<endpoint> endpoints() const {
        std::vector<endpoint> all = {entry.peers};
        for (const simulated_host& each : hosts) {
            all.push_back(each.address);
        }
        return all;
    }
};

std::string two_digits(std::size_t number) {
    return (number < 10 ? "0" : "") + std::to_string(number);
}

std::vector<simulated_host> hosts_of_zone(slopes_rig& rig, const availability_zone_id& zone,
                                          std::size_t count) {
    std::vector<simulated_host> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        // Ids sort after the measured host's, so that it is its zone's relay and reads the store.
        hosts.push_back(
            {entry_host_id("peer-" + zone.str() + "-" + two_digits(i)), zone, rig.next_endpoint()});
    }
    return hosts;
}

/// Numbers of simulated processes and zones of one measured entry host.
struct simulated_counts {
    std::size_t agents = 0;
    std::size_t peers = 0;
    std::size_t other_zones = 0;
};

std::vector<simulated_sender> senders_of(const measured_entry_host& measured,
                                         const simulated_counts& counts) {
    std::vector<simulated_sender> senders;
    for (std::size_t i = 0; i < counts.agents; ++i) {
        senders.push_back({measured.entry.peers, heartbeat_of(simulated_engine(own_zone, i))});
    }
    for (const simulated_host& host : measured.hosts) {
        senders.push_back({measured.entry.peers, host.zone == own_zone
                                                     ? heartbeat_of(host)
                                                     : relay_heartbeat(host, digest_engines)});
    }
    return senders;
}

result<measured_entry_host> start_entry(slopes_rig& rig, std::size_t number, const simulated_counts& counts) {
    measured_entry_host measured;
    measured.entry = {entry_host_id("entry-" + std::to_string(number)), own_zone, rig.next_endpoint(),
                      rig.next_endpoint()};
    measured.hosts = hosts_of_zone(rig, own_zone, counts.peers);
    for (std::size_t i = 0; i < counts.other_zones; ++i) {
        const availability_zone_id zone("zone-" + two_digits(i + 2));
        const auto relays = hosts_of_zone(rig, zone, relays_per_zone);
        measured.hosts.insert(measured.hosts.end(), relays.begin(), relays.end());
    }
    std::vector<endpoint> seeds;
    for (const simulated_host& each : measured.hosts) {
        seeds.push_back(each.address);
    }
    if (!measured.hosts.empty()) {
        BOOST_OUTCOME_TRY(server, simulated_hosts::start(measured.hosts));
        measured.server = std::move(server);
    }
    BOOST_OUTCOME_TRY(id, rig.start_entry(measured.entry, seeds, ""));
    measured.id = id;
    measured.senders = std::make_unique<simulated_senders>(senders_of(measured, counts));
    return measured;
}

/// Returns a minimal document, so that the configuration adds little to the measured costs.
std::string small_document(slopes_rig& rig) {
    fleet_spec spec;
    spec.zones = {own_zone};
    return environment_document(spec, plan_fleet(spec, [&rig] { return rig.next_endpoint(); }),
                                environment_name("trial"));
}

/// A load size and the simulated processes that produce it.
struct measurement_point {
    load_size size;
    simulated_counts counts;
};

result<void> measure_entries(const slopes_options& options, const usage_series& names,
                             const std::vector<measurement_point>& sizes, slopes_report& report) {
    slopes_rig rig(options.binaries, options.folder);
    BOOST_OUTCOME_TRY(rig.start_platform({}));
    BOOST_OUTCOME_TRY(rig.apply(small_document(rig)));
    std::vector<measured_entry_host> measured_hosts;
    std::vector<measured_process> processes;
    for (const measurement_point& each : sizes) {
        BOOST_OUTCOME_TRY(measured, start_entry(rig, measured_hosts.size() + 1, each.counts));
        processes.push_back({each.size, measured.id, measured.endpoints()});
        measured_hosts.push_back(std::move(measured));
    }
    measure_usage(options, names, processes, report);
    return success();
}

} // namespace

result<void> measure_entry_agents(const slopes_options& options, slopes_report& report) {
    std::vector<measurement_point> sizes;
    for (const std::size_t count : {10U, 60U, 130U}) {
        sizes.push_back({load_size(static_cast<std::int64_t>(count)), {count, 0, 0}});
    }
    return measure_entries(options, {"entry.agents", "agents"}, sizes, report);
}

result<void> measure_entry_peers(const slopes_options& options, slopes_report& report) {
    std::vector<measurement_point> sizes;
    for (const std::size_t count : {2U, 14U, 28U}) {
        sizes.push_back({load_size(static_cast<std::int64_t>(count)), {0, count, 0}});
    }
    return measure_entries(options, {"entry.peers", "entry hosts of the zone"}, sizes, report);
}

result<void> measure_entry_zones(const slopes_options& options, slopes_report& report) {
    std::vector<measurement_point> sizes;
    for (const std::size_t count : {2U, 6U, 13U}) {
        sizes.push_back({load_size(static_cast<std::int64_t>(count)), {engines_beside_zones, 0, count}});
    }
    return measure_entries(options, {"entry.zones", "other zones"}, sizes, report);
}

result<void> measure_agent(const slopes_options& options, slopes_report& report) {
    slopes_rig rig(options.binaries, options.folder);
    BOOST_OUTCOME_TRY(rig.start_platform({}));
    fleet_spec spec;
    std::vector<std::unique_ptr<simulated_hosts>> servers;
    std::vector<measured_process> processes;
    for (const std::size_t count : {1U, 10U, 28U}) {
        backend_plan backend;
        backend.id = backend_server_id("engine-" + std::to_string(count));
        backend.zone = own_zone;
        backend.backend = rig.next_endpoint();
        backend.agent = rig.next_endpoint();
        BOOST_OUTCOME_TRY(rig.start_backend(spec, backend));
        const std::vector<simulated_host> hosts = hosts_of_zone(rig, own_zone, count);
        BOOST_OUTCOME_TRY(server, simulated_hosts::start(hosts));
        servers.push_back(std::move(server));
        std::vector<endpoint> seeds;
        seeds.reserve(hosts.size());
        for (const simulated_host& each : hosts) {
            seeds.push_back(each.address);
        }
        BOOST_OUTCOME_TRY(id, rig.start_agent(spec, backend, seeds));
        processes.push_back({load_size(static_cast<std::int64_t>(count)), id, seeds});
    }
    measure_usage(options, {"agent.entries", "entry hosts of the zone"}, processes, report);
    return success();
}

} // namespace parsleypitch::bench
