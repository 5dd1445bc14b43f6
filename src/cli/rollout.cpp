#include "cli/rollout.hpp"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace parsleypitch::cli::detail {

result<config_version> version_in_health(const std::string& body) {
    const auto health = nlohmann::json::parse(body, nullptr, false);
    const auto field = health.is_object() ? health.find("config_version") : health.end();
    if (field == health.end() || !field->is_number_unsigned()) {
        return fail(errc::platform_protocol, "/healthz: expected a field config_version with a number");
    }
    return config_version(field->get<std::uint64_t>());
}

/// Number of hosts polled concurrently. With a time-out of 300 ms, 390 unresponsive hosts take about 4 s.
constexpr std::size_t max_concurrent_polls = 32;

/// Polls all waiting hosts and moves those on which the version is in force.
void poll_hosts(const config_command_hooks& hooks, config_version version, rollout_state& state) {
    std::map<endpoint, result<config_version>> answers;
    for (const auto& [host, reason] : state.waiting) {
        answers.emplace(host, fail(errc::agent_unreachable, host.str()));
    }
    asio::thread_pool pool(std::min(answers.size(), max_concurrent_polls));
    for (auto& [host, answer] : answers) {
        asio::post(pool, [&hooks, host = host, &answer = answer] {
            const auto body = hooks.read_health(host);
            answer = body ? version_in_health(body.value()) : result<config_version>(body.error());
        });
    }
    pool.join();
    for (const auto& [host, answer] : answers) {
        if (answer && answer.value() >= version) {
            state.in_force.push_back(host);
            state.waiting.erase(host);
        } else {
            state.waiting[host] =
                answer ? "has version " + std::to_string(answer.value().value()) : to_string(answer.error());
        }
    }
}

rollout_state await_in_force(const config_command_hooks& hooks, config_version version,
                             const std::vector<endpoint>& hosts,
                             const std::function<void(const std::string&)>& progress) {
    rollout_state state;
    for (const endpoint& host : hosts) {
        state.waiting.emplace(host, "not asked yet");
    }
    const std::size_t host_count = state.waiting.size();
    const time_point deadline = hooks.clock() + in_force_timeout;
    std::size_t reported_count = 0;
    while (!state.waiting.empty()) {
        poll_hosts(hooks, version, state);
        if (state.in_force.size() != reported_count) {
            reported_count = state.in_force.size();
            progress("version " + std::to_string(version.value()) + " is in force on " +
                     std::to_string(reported_count) + " of " + std::to_string(host_count) + " entry hosts");
        }
        if (hooks.clock() >= deadline) {
            break;
        }
        hooks.sleep(health_poll_period);
    }
    return state;
}

} // namespace parsleypitch::cli::detail
