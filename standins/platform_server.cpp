#include "platform_server.hpp"

#include <algorithm>
#include <array>

namespace parsleypitch::standins {

namespace {

using nlohmann::json;

constexpr std::array call_names = {"get", "put", "remove", "list", "watch", "hosts", "weights"};
constexpr milliseconds max_watch_time{60'000};

object_version expected_version(const httplib::Request& request) {
    return object_version(std::stoull(request.get_header_value("X-Expected-Version")));
}

json entries_json(const std::vector<object_entry>& entries) {
    json list = json::array();
    for (const object_entry& each : entries) {
        list.push_back({{"key", each.key.str()}, {"version", each.version.value()}});
    }
    return list;
}

void answer_changes(httplib::Response& response, const object_changes& changes) {
    answer_json(response, 200,
                {{"revision", changes.revision.value()}, {"changed", entries_json(changes.changed)}});
}

} // namespace

platform_server::platform_server(platform_options options)
    : m_options(options), m_writes(options.writes_per_second), m_reads(options.reads_per_second),
      m_hosts(options.host_list_lag), m_weights(options.weight_bytes_per_second) {
}

platform_server::~platform_server() {
    stop();
}

void platform_server::add_routes(httplib::Server& routes) {
    const auto bind = [this](auto member) {
        return [this, member](const auto& request, auto& response) { (this->*member)(request, response); };
    };
    routes.Get("/v1/objects/(.+)", with_admission(call::get, bind(&platform_server::get_object)));
    routes.Put("/v1/objects/(.+)", with_admission(call::put, bind(&platform_server::put_object)));
    routes.Delete("/v1/objects/(.+)", with_admission(call::remove, bind(&platform_server::remove_object)));
    routes.Get("/v1/watch", with_admission(call::watch, bind(&platform_server::watch)));
    routes.Get("/v1/list", with_admission(call::list, [this](const auto& request, auto& response) {
                   const std::string prefix = request.get_param_value("prefix");
                   const auto entries = run_on_control([&] { return m_objects.list(prefix); });
                   answer_json(response, 200, {{"objects", entries_json(entries)}});
               }));
    routes.Get("/v1/hosts", with_admission(call::hosts, [this](const auto&, auto& response) {
                   json hosts = json::array();
                   for (const auto& [host, state] :
                        run_on_control([this] { return m_hosts.visible(now()); })) {
                       hosts.push_back({{"host", host}, {"state", state}});
                   }
                   answer_json(response, 200, {{"hosts", hosts}});
               }));
    routes.Post("/v1/weights/acquire",
                with_admission(call::weights, [this](const auto& request, auto& response) {
                    const byte_count size(json::parse(request.body).at("bytes").template get<std::int64_t>());
                    const duration delay = run_on_control([&] { return m_weights.acquire(size, now()); });
                    answer_json(response, 200,
                                {{"delay_ms", std::chrono::duration_cast<milliseconds>(delay).count()}});
                }));
    add_admin_routes(routes);
}

platform_server::handler platform_server::with_admission(call kind, handler inner) {
    return [this, kind, inner = std::move(inner)](const auto& request, auto& response) {
        const auto [status, latency] = run_on_control([&] { return std::pair(admit(kind), call_latency()); });
        stopping().wait_for(latency);
        if (status != 200) {
            answer_json(response, status, {{"error", status == 429 ? "rate_exceeded" : "outage"}});
            return;
        }
        inner(request, response);
    };
}

int platform_server::admit(call kind) {
    if (m_faults.down) {
        ++m_rejected_outage;
        return 503;
    }
    if (m_faults.refuse > 0) {
        --m_faults.refuse;
        ++m_rejected_rate;
        return 429;
    }
    rate_limit& rate = kind == call::put || kind == call::remove ? m_writes : m_reads;
    if (!rate.take(now())) {
        ++m_rejected_rate;
        return 429;
    }
    ++m_calls[call_names.at(static_cast<std::size_t>(kind))];
    return 200;
}

duration platform_server::call_latency() {
    return m_options.latency + m_faults.extra_latency;
}

void platform_server::get_object(const httplib::Request& request, httplib::Response& response) {
    const object_key key(request.matches[1].str());
    const auto found = run_on_control([&]() -> result<stored_object> {
        if (m_faults.stale_reads == 0) {
            return m_objects.get(key);
        }
        --m_faults.stale_reads;
        return m_objects.get_stale(key);
    });
    if (!found) {
        answer_json(response, 404, {{"error", "not_found"}});
        return;
    }
    response.set_header("X-Object-Version", std::to_string(found.value().version.value()));
    response.set_content(found.value().bytes, "application/octet-stream");
}

void platform_server::put_object(const httplib::Request& request, httplib::Response& response) {
    const object_key key(request.matches[1].str());
    const object_version expected = expected_version(request);
    const auto [written, current] = run_on_control([&] {
        auto outcome = m_objects.put(key, request.body, expected, now());
        if (outcome) {
            wake_watches();
        }
        return std::pair(std::move(outcome), m_objects.version(key));
    });
    if (written) {
        close_if_answer_lost(request);
        answer_json(response, 200, {{"version", written.value().value()}});
    } else if (written.error().code == make_error_code(errc::object_too_large)) {
        answer_json(response, 413, {{"error", "too_large"}});
    } else {
        answer_json(response, 409, {{"version", current.value()}});
    }
}

void platform_server::remove_object(const httplib::Request& request, httplib::Response& response) {
    const object_key key(request.matches[1].str());
    const object_version expected = expected_version(request);
    const auto [removed, current] = run_on_control([&] {
        auto outcome = m_objects.remove(key, expected, now());
        if (outcome) {
            wake_watches();
        }
        return std::pair(std::move(outcome), m_objects.version(key));
    });
    if (removed) {
        close_if_answer_lost(request);
        answer_json(response, 200, json::object());
    } else if (removed.error().code == make_error_code(errc::object_not_found)) {
        answer_json(response, 404, {{"error", "not_found"}});
    } else {
        answer_json(response, 409, {{"version", current.value()}});
    }
}

void platform_server::close_if_answer_lost(const httplib::Request& request) {
    const bool lost =
        run_on_control([this] { return m_faults.lose_answers > 0 && m_faults.lose_answers-- > 0; });
    if (lost) {
        http().close_connection(request);
    }
}

void platform_server::watch(const httplib::Request& request, httplib::Response& response) {
    const auto waiter = std::make_shared<waiting_watch>();
    waiter->prefix = request.get_param_value("prefix");
    waiter->after = object_version(std::stoull(request.get_param_value("after")));
    const milliseconds timeout(std::stoll(request.get_param_value("timeout_ms")));
    auto answer = waiter->answer.get_future();
    run_on_control([&] {
        m_watches.push_back(waiter);
        wake_watches();
        if (stopping().is_set()) {
            release_waits();
        }
    });
    std::optional<object_changes> changes;
    if (answer.wait_for(std::min(timeout, max_watch_time)) == std::future_status::ready) {
        changes = answer.get();
    } else {
        changes = run_on_control([&] {
            m_watches.remove(waiter);
            return std::optional(object_changes{m_objects.changes("", object_version()).revision, {}});
        });
    }
    if (!changes) {
        answer_json(response, 503, {{"error", "outage"}});
        return;
    }
    answer_changes(response, *changes);
}

void platform_server::wake_watches() {
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        object_changes changes = m_objects.changes((*it)->prefix, (*it)->after);
        if (changes.changed.empty()) {
            ++it;
            continue;
        }
        (*it)->answer.set_value(std::move(changes));
        it = m_watches.erase(it);
    }
}

void platform_server::release_waits() {
    for (const auto& each : m_watches) {
        each->answer.set_value(std::nullopt);
    }
    m_watches.clear();
}

void platform_server::add_admin_routes(httplib::Server& routes) {
    // Lets the servers of one plain service share their bookings, as a real service does through its
    // database.
    routes.Post("/standin/bookings", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        const auto slot = body.at("slot").template get<std::string>();
        const auto party = body.at("party").template get<std::string>();
        const auto other = run_on_control([&] { return m_bookings.book(slot, party); });
        answer_json(response, 200, {{"confirmed_for", other.value_or("")}});
    });
    routes.Post("/admin/hosts", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        const auto host = body.at("host").template get<std::string>();
        const auto state = body.at("state").template get<std::string>();
        run_on_control([&] { m_hosts.set(host, state, now()); });
        answer_json(response, 200, json::object());
    });
    routes.Post("/admin/faults", [this](const auto& request, auto& response) {
        const json body = json::parse(request.body);
        run_on_control([&] { set_faults(body); });
        answer_json(response, 200, json::object());
    });
    routes.Get("/admin/truth", [this](const auto&, auto& response) {
        answer_json(response, 200, run_on_control([this] { return truth(); }));
    });
}

void platform_server::set_faults(const json& body) {
    m_faults.down = body.value("down", m_faults.down);
    m_faults.extra_latency = milliseconds(body.value("slow_ms", m_faults.extra_latency.count()));
    m_faults.lose_answers = body.value("lose_answers", m_faults.lose_answers);
    m_faults.refuse = body.value("refuse", m_faults.refuse);
    m_faults.stale_reads = body.value("stale_reads", m_faults.stale_reads);
    if (m_faults.down) {
        release_waits();
    }
}

json platform_server::truth() const {
    json writes = json::array();
    for (const write_record& each : m_objects.writes()) {
        writes.push_back({{"key", each.key.str()},
                          {"version", each.version.value()},
                          {"time_ms", to_ms(each.at)},
                          {"removed", each.removed}});
    }
    return {{"calls", m_calls},
            {"rejected_rate", m_rejected_rate},
            {"rejected_outage", m_rejected_outage},
            {"writes", writes}};
}

} // namespace parsleypitch::standins
