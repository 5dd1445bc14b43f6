#include "entry/lease_and_planner.hpp"

#include "entry/order_client.hpp"

#include <parsleypitch/lease/lease_object.hpp>
#include <parsleypitch/platform/http_object_store.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace parsleypitch::detail {

namespace {

// Delay per attempt made so far. A renewal starts 3 s before the term ends; four attempts with these delays
// leave time for slow calls.
constexpr milliseconds write_back_off{100};

} // namespace

std::shared_ptr<lease_service> make_lease_service(const entry_settings& settings, incarnation born,
                                                  const zone_service_dependencies& dependencies) {
    lease_service_options options;
    options.store = http_object_store(settings.platform.objects);
    options.key = lease_key(settings.zone);
    options.self = {settings.id, born};
    options.clock = steady_clock_hook();
    options.back_off = [](unsigned attempt) { std::this_thread::sleep_for(attempt * write_back_off); };
    options.is_candidate = [wanted = settings.planner, membership = &dependencies.membership] {
        return wanted && membership->is_zone_relay();
    };
    return std::make_shared<lease_service>(std::move(options));
}

std::shared_ptr<planner_service> make_planner(const entry_settings& settings,
                                              const std::shared_ptr<lease_service>& lease,
                                              const zone_service_dependencies& dependencies) {
    const auto client = std::make_shared<order_client>();
    planner_hooks hooks;
    hooks.zone = settings.zone;
    hooks.clock = steady_clock_hook();
    hooks.term = [lease](time_point now) { return lease->current(now); };
    hooks.view = [membership = &dependencies.membership] { return membership->view(); };
    hooks.proven_environment = [configuration =
                                    &dependencies.configuration]() -> std::shared_ptr<const environment> {
        const adopted_snapshot adopted = configuration->current();
        const bool proven = adopted && configuration->proven(std::chrono::steady_clock::now());
        return proven ? std::shared_ptr<const environment>(adopted, &adopted->value) : nullptr;
    };
    hooks.fence = [client](const endpoint& agent, fencing_number number) {
        return client->fence(agent, number);
    };
    hooks.order = [client](const endpoint& agent, const engine_order& order) {
        return client->order(agent, order);
    };
    hooks.on_applied = [journal = dependencies.journal](const planned_order& order) {
        if (order.from != order.target.role) {
            journal->record(
                role_change_event{{}, order.engine, order.target.role, std::string(to_string(order.reason))});
        }
    };
    hooks.cancel_calls = [client] { client->cancel(); };
    return std::make_shared<planner_service>(std::move(hooks));
}

std::string encode_planner_status(const planner_status& status, time_point now) {
    using nlohmann::json;
    json out = {{"term", status.term ? json(status.term->value()) : json()},
                {"no_plan", status.no_plan ? json(to_string(*status.no_plan)) : json()},
                {"age_ms", std::chrono::duration_cast<milliseconds>(now - status.made_at).count()},
                {"next", json()},
                {"in_progress", json::array()},
                {"models", json::array()}};
    const auto describe = [](const planned_order& order) {
        return json{{"engine", order.engine.str()},
                    {"from", std::string(to_string(order.from))},
                    {"to", std::string(to_string(order.target.role))},
                    {"version", order.target.version.str()},
                    {"reason", std::string(to_string(order.reason))}};
    };
    if (status.plan.order) {
        out["next"] = describe(*status.plan.order);
    }
    for (const planned_order& order : status.in_progress) {
        out["in_progress"].push_back(describe(order));
    }
    for (const model_plan& model : status.plan.models) {
        out["models"].push_back({{"model", model.model.str()},
                                 {"utilisation_now", model.utilisation_now},
                                 {"utilisation_best", model.utilisation_best},
                                 {"idle", model.idle ? json(std::string(to_string(*model.idle))) : json()}});
    }
    return out.dump();
}

fencing_number highest_fencing(const entry_settings& settings, const lease_service& lease,
                               const fleet_view& view) {
    fencing_number highest = lease.highest_seen();
    for (const member& each : view.members) {
        if (each.zone == settings.zone) {
            highest = std::max(highest, each.highest_fencing);
        }
    }
    return highest;
}

} // namespace parsleypitch::detail
