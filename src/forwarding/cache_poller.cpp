#include "forwarding/forwarder_state.hpp"

#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/cache_poller.hpp>
#include <parsleypitch/forwarding/host_ranking.hpp>

#include <algorithm>
#include <limits>
#include <tuple>
#include <vector>

namespace parsleypitch {

cache_poller::cache_poller(std::shared_ptr<forwarder::state> shared)
    : m_shared(std::move(shared)),
      m_selection_seed(m_shared->hooks.random(std::numeric_limits<std::uint64_t>::max())) {
}

bool polls_engine(const endpoint& own, const std::vector<endpoint>& peers, const backend_server_id& engine,
                  std::size_t pollers) {
    return host_rank(own, peers, engine) < pollers;
}

void cache_poller::set_hosts(endpoint own, std::vector<endpoint> peers) {
    m_own = std::move(own);
    m_peers = std::move(peers);
    update_engines();
}

void cache_poller::update_engines() {
    if (!m_shared->routes) {
        return;
    }
    m_selected = select_engines();
    for (const backend_server_id& id : m_selected) {
        if (m_active.insert(id).second) {
            send_query(id);
        }
    }
}

std::set<backend_server_id> cache_poller::select_engines() const {
    struct candidate {
        bool other_zone = false;
        std::uint64_t rank = 0;
        const backend_server_id* id = nullptr;
    };
    std::vector<candidate> candidates;
    for (const auto& [id, server] : m_shared->pool.all()) {
        const backend_service* service = m_shared->routes->find(server.entry.service);
        if (service == nullptr || !service->engine || server.leaving()) {
            continue;
        }
        const std::size_t waiting = service->engine->max_waiting_cache_queries;
        const std::size_t pollers = waiting > spare_cache_queries ? waiting - spare_cache_queries : 1;
        if (polls_engine(m_own, m_peers, id, pollers)) {
            candidates.push_back(
                {server.entry.zone != m_shared->zone, hash_bytes(id.str(), m_selection_seed), &id});
        }
    }
    const std::size_t count = std::min(candidates.size(), max_polled_engines);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const candidate& a, const candidate& b) {
                          return std::tie(a.other_zone, a.rank) < std::tie(b.other_zone, b.rank);
                      });
    std::set<backend_server_id> selected;
    for (std::size_t i = 0; i < count; ++i) {
        selected.insert(*candidates[i].id);
    }
    return selected;
}

void cache_poller::send_query(const backend_server_id& id) {
    const backend_state* server = m_shared->pool.find(id);
    if (server == nullptr || server->leaving() || !m_selected.contains(id)) {
        m_active.erase(id);
        m_short_polls_left.erase(id);
        return;
    }
    if (server->conditions.in_need(m_shared->hooks.now())) {
        schedule_query(id);
        return;
    }
    struct pending_query {
        std::string body;
        buffer_budget::share collected;
        http::call_handle call;
        timer_cancel timeout;
        unsigned status = 0;
    };
    const auto state = std::make_shared<pending_query>();
    // An engine holds only a few long polls at a time. After a failed query, short polls are used.
    const milliseconds wait = m_short_polls_left.contains(id) ? milliseconds(0) : cache_long_poll_wait;
    http::request message = m_shared->protocol.encode_cache_query(server->cache_next, wait);
    message.headers.set("Host", server->entry.address.str());
    http::call_hooks hooks;
    const auto self = shared_from_this();
    // Connections are shared with requests, whose late responses carry the id of their request.
    hooks.matches_request = [shared = m_shared](const http::response_head& head) {
        return shared->protocol.decode_response_head(head).request.empty();
    };
    hooks.head = [state, shared = m_shared, id](const http::response_head& head) {
        state->status = head.status;
        shared->note_conditions(id, head);
    };
    hooks.body = [state](const std::string& part) {
        state->body.append(part);
        (void)state->collected.set(size_in_bytes(state->body));
    };
    hooks.end = [self, state, id] {
        constexpr unsigned status_ok = 200;
        state->timeout();
        if (state->status == status_ok) {
            self->on_report(id, state->body);
        } else {
            self->on_query_failed(id, "status " + std::to_string(state->status));
        }
        self->schedule_query(id);
    };
    hooks.failed = [self, state, id](const http::call_failure& why) {
        state->timeout();
        http::count_broken_response(*self->m_shared->metrics, why);
        self->on_query_failed(id, reason_name(why.code));
        self->schedule_query(id);
    };
    state->collected = m_shared->collected.open([self, weak = std::weak_ptr(state), id] {
        if (const auto revoked = weak.lock()) {
            revoked->call.cancel();
            revoked->timeout();
            self->on_query_failed(id, "memory_limit");
            self->schedule_query(id);
        }
    });
    state->timeout =
        m_shared->hooks.start_timer(cache_long_poll_wait + cache_query_timeout_margin, [self, state, id] {
            state->call.cancel();
            self->on_query_failed(id, "timeout");
            self->schedule_query(id);
        });
    state->call =
        m_shared->hooks.start_call(server->entry.address, http::serialize(message), {}, std::move(hooks));
}

void cache_poller::schedule_query(const backend_server_id& id) {
    const milliseconds period =
        m_short_polls_left.contains(id) ? cache_short_poll_period : cache_query_period;
    m_shared->hooks.start_timer(period, [self = shared_from_this(), id] { self->send_query(id); });
}

void cache_poller::on_report(const backend_server_id& id, const std::string& body) {
    const auto report = m_shared->protocol.decode_cache_report(body);
    if (!report) {
        m_shared->log->warning("cache_report_refused", {{"server", id}, {"reason", report.error().detail}});
        return;
    }
    if (report.value().gap) {
        m_shared->count("parsleypitch_cache_report_gaps_total", {});
    }
    m_shared->count("parsleypitch_cache_queries_total", {{"result", "answered"}});
    if (const auto left = m_short_polls_left.find(id);
        left != m_short_polls_left.end() && --left->second == 0) {
        m_short_polls_left.erase(left);
    }
    m_shared->pool.note_cache_report(id, report.value(), m_shared->hooks.now());
}

void cache_poller::on_query_failed(const backend_server_id& id, const std::string& reason) {
    m_shared->count("parsleypitch_cache_queries_total", {{"result", reason}});
    if (m_short_polls_left.insert_or_assign(id, short_polls_after_failure).second) {
        m_shared->log->warning("cache_query_failed", {{"server", id}, {"reason", reason}});
    }
}

} // namespace parsleypitch
