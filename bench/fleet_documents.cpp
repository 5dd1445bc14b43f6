#include "fleet_documents.hpp"

#include <parsleypitch/core/hash.hpp>

#include <sstream>

namespace parsleypitch::bench {

namespace {

constexpr std::array<std::string_view, rank_count> account_names = {"desk", "rota", "bulk"};

std::string toml_text(std::string_view text) {
    return "\"" + std::string(text) + "\"";
}

std::string endpoint_list(const std::vector<endpoint>& endpoints) {
    std::string list = "[";
    for (const endpoint& each : endpoints) {
        list += (list.size() > 1 ? ", " : "") + toml_text(each.str());
    }
    return list + "]";
}

void write_platform(std::ostream& out, const endpoint& platform) {
    out << "\n[platform]\nobjects = " << toml_text(platform.str())
        << "\nhosts = " << toml_text(platform.str()) << "\n";
}

void write_ranks(std::ostream& out, const fleet_spec& spec) {
    for (const rank r : all_ranks) {
        const rank_policy& policy = spec.ranks[index_of(r)];
        out << "\n[ranks." << to_string(r) << "]\nworth = " << policy.worth
            << "\ntarget_ms = " << policy.target.count()
            << "\nbetween_tokens_ms = " << policy.between_tokens.count()
            << "\ndeadline_ms = " << policy.deadline.count() << "\nfloor = " << policy.floor << "\n";
    }
}

void write_accounts(std::ostream& out) {
    for (const rank r : all_ranks) {
        out << "\n[[account]]\nid = " << toml_text(account_names[index_of(r)])
            << "\nkey_sha256 = " << toml_text(sha256_hex(account_key(r)))
            << "\nhighest_rank = " << toml_text(to_string(r)) << "\n";
    }
}

backend_plan plan_backend(const fleet_spec& spec, bool is_engine, std::size_t index,
                          const std::function<endpoint()>& next_endpoint) {
    backend_plan planned;
    planned.id = backend_server_id((is_engine ? "engine-" : "service-") + std::to_string(index + 1));
    planned.zone = spec.zones[index % spec.zones.size()];
    planned.is_engine = is_engine;
    planned.backend = next_endpoint();
    planned.agent = next_endpoint();
    return planned;
}

} // namespace

std::string account_key(rank r) {
    return std::string(account_names[index_of(r)]) + "-key";
}

engine_role role_split::role_of(std::size_t index) const noexcept {
    if (index < prefill) {
        return engine_role::prefill;
    }
    return index < prefill + decode ? engine_role::decode : engine_role::mixed;
}

fleet_plan plan_fleet(const fleet_spec& spec, const std::function<endpoint()>& next_endpoint) {
    fleet_plan plan;
    plan.platform = next_endpoint();
    for (std::size_t i = 0; i < spec.engines; ++i) {
        plan.backends.push_back(plan_backend(spec, true, i, next_endpoint));
    }
    for (std::size_t i = 0; i < spec.services; ++i) {
        plan.backends.push_back(plan_backend(spec, false, i, next_endpoint));
    }
    for (std::size_t i = 0; i < spec.entry_hosts; ++i) {
        plan.entries.push_back({entry_host_id("entry-" + std::to_string(i + 1)),
                                spec.zones[i % spec.zones.size()], next_endpoint(), next_endpoint()});
    }
    return plan;
}

std::string environment_document(const fleet_spec& spec, const fleet_plan& plan,
                                 const environment_name& name) {
    std::ostringstream out;
    out << "[environment]\nname = " << toml_text(name.str()) << "\n";
    write_ranks(out, spec);
    for (const availability_zone_id& zone : spec.zones) {
        out << "\n[[zone]]\nid = " << toml_text(zone.str()) << "\nregion = \"local\"\n";
    }
    out << "\n[[model]]\nid = " << toml_text(spec.model.str()) << "\nversion = \"1\"\n";
    out << "\n[[service]]\nid = " << toml_text(spec.service.str())
        << "\n\n[[service.operation]]\nid = \"hold\"\nrepeatable = false\n"
        << "\n[[service.operation]]\nid = \"lookup\"\nrepeatable = true\n";
    for (const backend_plan& backend : plan.backends) {
        out << "\n[[backend_server]]\nid = " << toml_text(backend.id.str())
            << "\nzone = " << toml_text(backend.zone.str()) << "\n"
            << (backend.is_engine ? "model = " + toml_text(spec.model.str())
                                  : "service = " + toml_text(spec.service.str()))
            << "\n";
        if (backend.is_engine) {
            out << "checks_fencing = " << (spec.checks_fencing ? "true" : "false") << "\n";
        }
    }
    write_accounts(out);
    return out.str();
}

std::string entry_settings_text(const entry_plan& entry, const endpoint& platform,
                                const std::vector<endpoint>& seeds, const std::string& extra) {
    std::ostringstream out;
    out << "[entry_host]\nid = " << toml_text(entry.id.str()) << "\nzone = " << toml_text(entry.zone.str())
        << "\nenvironment = \"production\"\ncallers = " << toml_text(entry.callers.str())
        << "\npeers = " << toml_text(entry.peers.str()) << "\nseeds = " << endpoint_list(seeds) << "\n"
        << extra;
    write_platform(out, platform);
    return out.str();
}

std::string agent_settings_text(const fleet_spec& spec, const backend_plan& backend, const endpoint& platform,
                                const std::vector<endpoint>& seeds) {
    std::ostringstream out;
    out << "[agent]\nid = " << toml_text(backend.id.str()) << "\nzone = " << toml_text(backend.zone.str())
        << "\nenvironment = \"production\"\nlisten = " << toml_text(backend.agent.str())
        << "\nbackend = " << toml_text(backend.backend.str()) << "\nseeds = " << endpoint_list(seeds)
        << "\nslots = " << spec.slots.value() << "\n";
    if (!backend.is_engine) {
        out << "plain_service = " << toml_text(spec.service.str()) << "\n";
    }
    write_platform(out, platform);
    return out.str();
}

} // namespace parsleypitch::bench
