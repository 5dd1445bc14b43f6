#include "slopes_peers.hpp"
#include "slopes_rig.hpp"
#include "slopes_sections.hpp"
#include "slopes_usage.hpp"

#include <array>

namespace parsleypitch::bench {

namespace {

const availability_zone_id own_zone("zone-01");
// Engines of the own zone while the cost of other zones is measured; they fill every group of the digest.
constexpr std::size_t engines_beside_zones = 60;
// Four models with eight engines each, as the relays of the target fleet report them.
constexpr std::size_t digest_engines = 32;
constexpr std::size_t relays_per_zone = 2;

/// One entry host under measurement with the simulated processes around it.
struct entry_subject {
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
        // Ids above that of the measured host, so that it is a relay and follows the store.
        hosts.push_back(
            {entry_host_id("peer-" + zone.str() + "-" + two_digits(i)), zone, rig.next_endpoint()});
    }
    return hosts;
}

/// What surrounds an entry host under measurement.
struct surroundings {
    std::size_t agents = 0;
    std::size_t peers = 0;
    std::size_t other_zones = 0;
};

std::vector<simulated_sender> senders_of(const entry_subject& subject, const surroundings& around) {
    std::vector<simulated_sender> senders;
    for (std::size_t i = 0; i < around.agents; ++i) {
        senders.push_back({subject.entry.peers, heartbeat_of(simulated_engine(own_zone, i))});
    }
    for (const simulated_host& host : subject.hosts) {
        senders.push_back({subject.entry.peers, host.zone == own_zone
                                                    ? heartbeat_of(host)
                                                    : relay_heartbeat(host, digest_engines)});
    }
    return senders;
}

result<entry_subject> start_entry(slopes_rig& rig, std::size_t number, const surroundings& around) {
    entry_subject subject;
    subject.entry = {entry_host_id("entry-" + std::to_string(number)), own_zone, rig.next_endpoint(),
                     rig.next_endpoint()};
    subject.hosts = hosts_of_zone(rig, own_zone, around.peers);
    for (std::size_t i = 0; i < around.other_zones; ++i) {
        const availability_zone_id zone("zone-" + two_digits(i + 2));
        const auto relays = hosts_of_zone(rig, zone, relays_per_zone);
        subject.hosts.insert(subject.hosts.end(), relays.begin(), relays.end());
    }
    std::vector<endpoint> seeds;
    for (const simulated_host& each : subject.hosts) {
        seeds.push_back(each.address);
    }
    if (!subject.hosts.empty()) {
        BOOST_OUTCOME_TRY(server, simulated_hosts::start(subject.hosts));
        subject.server = std::move(server);
    }
    BOOST_OUTCOME_TRY(id, rig.start_entry(subject.entry, seeds, ""));
    subject.id = id;
    subject.senders = std::make_unique<simulated_senders>(senders_of(subject, around));
    return subject;
}

/// A document without backend servers, so that the configuration adds nothing to the measured costs.
std::string small_document(slopes_rig& rig) {
    fleet_spec spec;
    spec.zones = {own_zone};
    return environment_document(spec, plan_fleet(spec, [&rig] { return rig.next_endpoint(); }),
                                environment_name("trial"));
}

/// A measured size with the surroundings that it stands for.
struct sized_surroundings {
    load_size size;
    surroundings around;
};

result<void> measure_entries(const slopes_options& options, const usage_series& names,
                             const std::vector<sized_surroundings>& sizes, slopes_report& report) {
    slopes_rig rig(options.binaries, options.folder);
    BOOST_OUTCOME_TRY(rig.start_platform({}));
    BOOST_OUTCOME_TRY(rig.apply(small_document(rig)));
    std::vector<entry_subject> subjects;
    std::vector<measured_process> processes;
    for (const sized_surroundings& each : sizes) {
        BOOST_OUTCOME_TRY(subject, start_entry(rig, subjects.size() + 1, each.around));
        processes.push_back({each.size, subject.id, subject.endpoints()});
        subjects.push_back(std::move(subject));
    }
    measure_usage(options, names, processes, report);
    return success();
}

} // namespace

result<void> measure_entry_agents(const slopes_options& options, slopes_report& report) {
    std::vector<sized_surroundings> sizes;
    for (const std::size_t count : {10U, 60U, 130U}) {
        sizes.push_back({load_size(static_cast<std::int64_t>(count)), {count, 0, 0}});
    }
    return measure_entries(options, {"entry.agents", "agents"}, sizes, report);
}

result<void> measure_entry_peers(const slopes_options& options, slopes_report& report) {
    std::vector<sized_surroundings> sizes;
    for (const std::size_t count : {2U, 14U, 28U}) {
        sizes.push_back({load_size(static_cast<std::int64_t>(count)), {0, count, 0}});
    }
    return measure_entries(options, {"entry.peers", "entry hosts of the zone"}, sizes, report);
}

result<void> measure_entry_zones(const slopes_options& options, slopes_report& report) {
    std::vector<sized_surroundings> sizes;
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
