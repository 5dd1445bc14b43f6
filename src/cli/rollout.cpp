#include "cli/rollout.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::cli::detail {

result<config_version> version_in_health(const std::string& body) {
    const auto health = nlohmann::json::parse(body, nullptr, false);
    const auto field = health.is_object() ? health.find("config_version") : health.end();
    if (field == health.end() || !field->is_number_unsigned()) {
        return fail(errc::platform_protocol, "/healthz: expected a field config_version with a number");
    }
    return config_version(field->get<std::uint64_t>());
}

/// Moves the hosts that have the version in force out of the waiting ones.
void poll_hosts(const config_command_hooks& hooks, config_version version, rollout_state& state) {
    for (auto each = state.waiting.begin(); each != state.waiting.end();) {
        const auto body = hooks.read_health(each->first);
        const auto found = body ? version_in_health(body.value()) : result<config_version>(body.error());
        if (found && found.value() >= version) {
            state.in_force.push_back(each->first);
            each = state.waiting.erase(each);
            continue;
        }
        each->second =
            found ? "has version " + std::to_string(found.value().value()) : to_string(found.error());
        ++each;
    }
}

rollout_state await_in_force(const config_command_hooks& hooks, config_version version,
                             const std::vector<endpoint>& hosts,
                             const std::function<void(const std::string&)>& progress) {
    rollout_state state;
    for (const endpoint& host : hosts) {
        state.waiting.emplace(host, "not asked yet");
    }
    const std::size_t all = state.waiting.size();
    const time_point deadline = hooks.clock() + in_force_bound;
    std::size_t reported = 0;
    while (true) {
        poll_hosts(hooks, version, state);
        if (state.in_force.size() != reported) {
            reported = state.in_force.size();
            progress("version " + std::to_string(version.value()) + " is in force on " +
                     std::to_string(reported) + " of " + std::to_string(all) + " entry hosts");
        }
        if (state.waiting.empty() || hooks.clock() >= deadline) {
            return state;
        }
        hooks.sleep(health_poll_period);
    }
}

} // namespace parsleypitch::cli::detail
