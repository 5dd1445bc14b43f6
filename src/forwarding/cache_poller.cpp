#include "forwarding/forwarder_state.hpp"

#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/cache_poller.hpp>

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

namespace parsleypitch {

cache_poller::cache_poller(std::shared_ptr<forwarder::state> shared)
    : m_shared(std::move(shared)), m_draw(m_shared->hooks.random(std::numeric_limits<std::uint64_t>::max())) {
}

void cache_poller::adopt_fleet() {
    if (!m_shared->routes) {
        return;
    }
    m_chosen = choose();
    for (const backend_server_id& id : m_chosen) {
        if (m_followed.insert(id).second) {
            ask(id);
        }
    }
}

std::set<backend_server_id> cache_poller::choose() const {
    struct candidate {
        bool far = false;
        std::uint64_t place = 0;
        const backend_server_id* id = nullptr;
    };
    std::vector<candidate> candidates;
    for (const auto& [id, server] : m_shared->pool.all()) {
        const backend_service* service = m_shared->routes->find(server.entry.service);
        if (service != nullptr && service->engine && !server.entry.draining) {
            candidates.push_back({server.entry.zone != m_shared->zone, hash_bytes(id.str(), m_draw), &id});
        }
    }
    const std::size_t count = std::min(candidates.size(), max_polled_engines);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const candidate& a, const candidate& b) {
                          return std::tie(a.far, a.place) < std::tie(b.far, b.place);
                      });
    std::set<backend_server_id> chosen;
    for (std::size_t i = 0; i < count; ++i) {
        chosen.insert(*candidates[i].id);
    }
    return chosen;
}

void cache_poller::ask(const backend_server_id& id) {
    const backend_state* server = m_shared->pool.find(id);
    if (server == nullptr || server->entry.draining || !m_chosen.contains(id)) {
        m_followed.erase(id);
        m_polls_left.erase(id);
        return;
    }
    struct question {
        std::string body;
        http::call_handle call;
        timer_cancel timeout;
        unsigned status = 0;
    };
    const auto state = std::make_shared<question>();
    // An engine holds few questions at a time; one that it can't hold is answered at once.
    const milliseconds wait = m_polls_left.contains(id) ? milliseconds(0) : cache_long_poll_wait;
    http::request message = m_shared->protocol.encode_cache_query(server->cache_next, wait);
    message.headers.set("Host", server->entry.address.str());
    http::call_hooks hooks;
    const auto self = shared_from_this();
    hooks.belongs = [](const http::response_head&) { return true; };
    hooks.head = [state](const http::response_head& head) { state->status = head.status; };
    hooks.body = [state](const std::string& part) { state->body.append(part); };
    hooks.end = [self, state, id] {
        constexpr unsigned status_ok = 200;
        state->timeout();
        if (state->status == status_ok) {
            self->on_answer(id, state->body);
        } else {
            self->on_refused(id, "status " + std::to_string(state->status));
        }
        self->ask_later(id);
    };
    hooks.failed = [self, state, id](const error& why) {
        state->timeout();
        self->on_refused(id, reason_name(why.code));
        self->ask_later(id);
    };
    state->timeout =
        m_shared->hooks.start_timer(cache_long_poll_wait + cache_query_timeout_margin, [self, state, id] {
            state->call.cancel();
            self->ask_later(id);
        });
    state->call =
        m_shared->hooks.start_call(server->entry.address, http::serialize(message), {}, std::move(hooks));
}

void cache_poller::ask_later(const backend_server_id& id) {
    const milliseconds period = m_polls_left.contains(id) ? cache_short_poll_period : cache_query_period;
    m_shared->hooks.start_timer(period, [self = shared_from_this(), id] { self->ask(id); });
}

void cache_poller::on_answer(const backend_server_id& id, const std::string& body) {
    const auto report = m_shared->protocol.decode_cache_report(body);
    if (!report) {
        m_shared->log->warning("cache_report_refused", {{"server", id}, {"reason", report.error().detail}});
        return;
    }
    if (report.value().gap) {
        m_shared->count("parsleypitch_cache_report_gaps_total", {});
    }
    m_shared->count("parsleypitch_cache_queries_total", {{"result", "answered"}});
    if (const auto polled = m_polls_left.find(id); polled != m_polls_left.end() && --polled->second == 0) {
        m_polls_left.erase(polled);
    }
    m_shared->pool.note_cache_report(id, report.value());
}

void cache_poller::on_refused(const backend_server_id& id, const std::string& reason) {
    m_shared->count("parsleypitch_cache_queries_total", {{"result", reason}});
    if (m_polls_left.insert_or_assign(id, short_polls_after_refusal).second) {
        m_shared->log->warning("cache_query_failed", {{"server", id}, {"reason", reason}});
    }
}

} // namespace parsleypitch
