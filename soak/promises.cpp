#include "promises.hpp"

#include "forwarding/response_status.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace parsleypitch::soak {

namespace {

constexpr unsigned first_own_denial = 300;

/// Collects the breaches of all promises.
class examiner {
  public:
    examiner(const observations& seen, const promise_bounds& bounds, time_point end)
        : m_seen(seen), m_bounds(bounds), m_end(end) {}

    std::vector<broken_promise> examine() {
        for (const auto& [id, request] : m_seen.requests) {
            check_runs(request);
            check_answer(request);
            check_leaving(request);
            check_configuration(request);
            check_planned_stops(request);
            check_caller_left(request);
        }
        check_attempts();
        check_denials();
        check_retries();
        check_downgrades();
        check_orders();
        check_recovery();
        for (const std::string& stray : m_seen.strays) {
            note(promise::nothing_unexplained, stray);
        }
        return std::move(m_found);
    }

  private:
    void note(promise which, std::string detail) { m_found.push_back({which, std::move(detail)}); }

    [[nodiscard]] static std::string describe(const observed_request& request) {
        std::ostringstream text;
        text << "request " << request.id << " at " << request.host;
        for (const observed_run& run : request.runs) {
            text << ", run by " << run.server;
        }
        if (request.answer) {
            text << ", answered " << request.answer->status << (request.answer->complete ? "" : " in part");
        }
        return text.str();
    }

    /// Whether no trouble touched this time or the time of contact before it.
    [[nodiscard]] bool calm(time_point from, time_point until) const {
        return std::none_of(m_seen.disturbances.begin(), m_seen.disturbances.end(),
                            [&](const time_span& trouble) {
                                return trouble.from <= until && trouble.until >= from - m_bounds.contact;
                            });
    }

    void check_runs(const observed_request& request) {
        if (!request.repeatable() && request.runs.size() > 1) {
            note(promise::runs_once, describe(request));
        }
        for (std::size_t i = 1; i < request.runs.size() && request.kind == request_kind::stream; ++i) {
            const time_point begins = request.runs[i].began;
            const time_point before_ends = request.runs[i - 1].ended.value_or(m_end);
            if (before_ends > begins + m_bounds.overlap && calm(request.sent, before_ends)) {
                note(promise::one_run_at_a_time, describe(request));
            }
        }
        for (const observed_run& run : request.runs) {
            if (!run.unaltered || !run.own_cache) {
                note(promise::request_is_unaltered, describe(request));
            }
            const bool allowed = std::any_of(m_seen.configurations.begin(), m_seen.configurations.end(),
                                             [&](const observed_configuration& each) {
                                                 return each.services.at(request.route) == run.service;
                                             });
            if (!allowed) {
                note(promise::service_is_allowed, describe(request) + ", service " + run.service.str());
            }
        }
    }

    void check_answer(const observed_request& request) {
        if (!request.answer || request.answer->unsent) {
            return;
        }
        const observed_answer& answer = *request.answer;
        if (answer.foreign) {
            note(promise::answer_is_whole, describe(request) + ", names another request");
        }
        if (detail::promises_not_run(answer.status) && !request.repeatable() && !request.runs.empty()) {
            note(promise::refusal_is_true, describe(request));
        }
        if (detail::is_success(answer.status)) {
            const bool right = answer.complete ? answer.body == request.expected_body
                                               : request.expected_body.rfind(answer.body, 0) == 0;
            if (!right || !answer.sealed) {
                note(promise::answer_is_whole, describe(request) + ", body of " +
                                                   std::to_string(answer.body.size()) + " bytes for " +
                                                   std::to_string(request.expected_body.size()));
            }
        } else if (answer.sealed &&
                   std::none_of(request.runs.begin(), request.runs.end(),
                                [&](const observed_run& run) { return run.status == answer.status; })) {
            note(promise::answer_is_whole, describe(request) + ", no engine answered so");
        }
    }

    void check_leaving(const observed_request& request) {
        for (const observed_arrival& arrival : request.arrivals) {
            const auto left = m_seen.leaving.find(arrival.server);
            if (left != m_seen.leaving.end() && arrival.at > left->second + m_bounds.drain &&
                calm(left->second, arrival.at)) {
                note(promise::leaving_servers_get_no_work,
                     describe(request) + ", sent to " + arrival.server.str());
            }
        }
    }

    void check_configuration(const observed_request& request) {
        for (const observed_run& run : request.runs) {
            const observed_configuration* due = nullptr;
            bool allowed = false;
            for (const observed_configuration& each : m_seen.configurations) {
                if (each.acknowledged + m_bounds.config_apply < request.sent) {
                    due = &each;
                    allowed = false;
                }
                allowed = allowed || each.services.at(request.route) == run.service;
            }
            if (due != nullptr && !allowed && calm(due->acknowledged, run.began)) {
                note(promise::configuration_is_current, describe(request) + ", service " + run.service.str() +
                                                            ", version " +
                                                            std::to_string(due->version.value()));
            }
        }
    }

    /// A process that has used a version uses no older one for requests that come later.
    void check_downgrades() {
        struct seen_version {
            std::size_t index = 0;
            time_point at;
        };
        std::vector<const observed_request*> by_run;
        for (const auto& [id, request] : m_seen.requests) {
            if (!request.runs.empty()) {
                by_run.push_back(&request);
            }
        }
        std::sort(by_run.begin(), by_run.end(),
                  [](const auto* a, const auto* b) { return a->runs.front().began < b->runs.front().began; });
        std::map<std::pair<entry_host_id, incarnation>, seen_version> newest;
        for (const observed_request* request : by_run) {
            const observed_run& run = request->runs.front();
            const auto known = newest.find({request->host, request->process});
            const std::size_t first = known == newest.end() ? 0 : known->second.index;
            std::size_t used = first;
            while (used < m_seen.configurations.size() &&
                   m_seen.configurations[used].services.at(request->route) != run.service) {
                ++used;
            }
            const bool written =
                used < m_seen.configurations.size() && m_seen.configurations[used].acknowledged <= run.began;
            if (written) {
                newest[{request->host, request->process}] = {used, run.began};
                continue;
            }
            // A host that is slow for whatever reason is allowed eight times the slack.
            constexpr int slowed = 8;
            const duration slack = m_bounds.downgrade_slack * (calm(request->sent, run.began) ? 1 : slowed);
            if (known != newest.end() && request->sent > known->second.at + slack) {
                note(promise::configuration_never_goes_back, describe(*request));
            }
        }
    }

    void check_planned_stops(const observed_request& request) {
        const bool lost = !request.answer || (!request.answer->complete && !request.answer->unsent);
        const bool passed_on = !request.runs.empty() && !request.caller_left;
        if (!lost || !passed_on) {
            return;
        }
        const time_point over = request.answer ? request.answer->at : m_end;
        for (const auto& [host, at] : m_seen.planned_stops) {
            const bool around =
                request.sent + m_bounds.contact > at && request.sent < at + m_bounds.stop_grace + seconds(1);
            if (host == request.host && around && over > at && calm(request.sent, over)) {
                note(promise::planned_stop_loses_nothing, describe(request));
                return;
            }
        }
    }

    void check_caller_left(const observed_request& request) {
        const bool work_may_end = request.repeatable() || request.kind == request_kind::stream;
        if (!request.caller_left || !work_may_end) {
            return;
        }
        const time_point due = *request.caller_left + m_bounds.work_after_leave;
        for (const observed_run& run : request.runs) {
            if (run.ended.value_or(m_end) > due && calm(request.sent, due)) {
                note(promise::work_ends_with_its_caller, describe(request));
            }
        }
        for (const observed_arrival& arrival : request.arrivals) {
            if (arrival.at > due && calm(request.sent, arrival.at)) {
                note(promise::work_ends_with_its_caller, describe(request) + ", sent on later");
            }
        }
    }

    void check_attempts() {
        std::vector<std::string> over;
        for (const auto& [id, request] : m_seen.requests) {
            std::set<backend_server_id> servers;
            for (const observed_run& run : request.runs) {
                servers.insert(run.server);
            }
            if (servers.size() > request.max_attempts) {
                over.push_back(describe(request));
            }
        }
        if (over.size() > m_bounds.forgiven_attempts) {
            note(promise::attempts_are_limited, std::to_string(over.size()) + " requests, " + over.front());
        }
    }

    void check_denials() {
        std::vector<std::string> denied;
        for (const auto& [id, request] : m_seen.requests) {
            const unsigned status = request.answer ? request.answer->status : 0;
            if (status >= first_own_denial && status < detail::first_server_failure &&
                !detail::promises_not_run(status)) {
                denied.push_back(describe(request));
            }
        }
        if (denied.size() > m_bounds.forgiven_denials) {
            note(promise::proper_requests_are_taken,
                 std::to_string(denied.size()) + " requests, " + denied.front());
        }
    }

    void check_retries() {
        struct tally {
            std::vector<time_point> requests;
            std::vector<time_point> extra;
        };
        std::map<backend_service_id, tally> services;
        for (const auto& [id, request] : m_seen.requests) {
            bool first = true;
            bool first_read = true;
            for (const observed_arrival& arrival : request.arrivals) {
                if (arrival.reads_only && arrival.accepted && std::exchange(first_read, false)) {
                    continue;
                }
                tally& of_service = services[arrival.service];
                if (std::exchange(first, false)) {
                    of_service.requests.push_back(request.sent);
                } else {
                    of_service.extra.push_back(arrival.at);
                }
            }
        }
        for (auto& [service, of_service] : services) {
            std::sort(of_service.requests.begin(), of_service.requests.end());
            std::sort(of_service.extra.begin(), of_service.extra.end());
            for (const time_point from : of_service.extra) {
                const auto extra = count_from(of_service.extra, from);
                // Requests of the window before count too if they are more.
                const auto requests = std::max(count_from(of_service.requests, from),
                                               count_from(of_service.requests, from - m_bounds.retry_window));
                if (extra > m_bounds.retry_ratio * requests + m_bounds.retry_allowance) {
                    note(promise::retries_are_limited, "service " + service.str() + ": " +
                                                           std::to_string(extra) + " further sends for " +
                                                           std::to_string(requests) + " requests");
                    break;
                }
            }
        }
    }

    [[nodiscard]] double count_from(const std::vector<time_point>& times, time_point from) const {
        const auto begin = std::lower_bound(times.begin(), times.end(), from);
        const auto end = std::lower_bound(times.begin(), times.end(), from + m_bounds.retry_window);
        return static_cast<double>(end - begin);
    }

    void check_orders() {
        std::map<backend_server_id, observed_order> last;
        for (const observed_order& order : m_seen.orders) {
            const auto before = last.find(order.server);
            if (before != last.end()) {
                const observed_order& previous = before->second;
                const bool stale = order.term < previous.term;
                const bool shared = order.term == previous.term && order.holder != previous.holder;
                const bool taken_early =
                    order.holder != previous.holder && order.at < previous.at + m_bounds.holder_pause;
                if (stale || shared || taken_early) {
                    note(promise::one_giver_of_orders, order.server.str() + ": " + order.holder.str() +
                                                           " in term " + std::to_string(order.term.value()) +
                                                           " after " + previous.holder.str() + " in term " +
                                                           std::to_string(previous.term.value()));
                }
            }
            last.insert_or_assign(order.server, order);
        }
    }

    void check_recovery() {
        if (!m_seen.calm_since) {
            return;
        }
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto& [id, request] : m_seen.requests) {
            const bool judged = request.sent > *m_seen.calm_since + m_bounds.recovery && request.answer &&
                                !request.caller_left;
            if (judged) {
                ++sent;
                served += request.served() ? 1 : 0;
            }
        }
        if (static_cast<double>(served) < m_bounds.served_after_recovery * static_cast<double>(sent)) {
            note(promise::serves_again_after_faults,
                 std::to_string(served) + " of " + std::to_string(sent) + " requests served");
        }
    }

    const observations& m_seen;
    const promise_bounds& m_bounds;
    time_point m_end;
    std::vector<broken_promise> m_found;
};

} // namespace

bool observed_request::served() const {
    return answer && answer->complete && detail::is_success(answer->status);
}

std::string_view to_string(promise which) noexcept {
    switch (which) {
    case promise::runs_once:
        return "runs_once";
    case promise::one_run_at_a_time:
        return "one_run_at_a_time";
    case promise::refusal_is_true:
        return "refusal_is_true";
    case promise::answer_is_whole:
        return "answer_is_whole";
    case promise::request_is_unaltered:
        return "request_is_unaltered";
    case promise::service_is_allowed:
        return "service_is_allowed";
    case promise::attempts_are_limited:
        return "attempts_are_limited";
    case promise::retries_are_limited:
        return "retries_are_limited";
    case promise::leaving_servers_get_no_work:
        return "leaving_servers_get_no_work";
    case promise::configuration_is_current:
        return "configuration_is_current";
    case promise::configuration_never_goes_back:
        return "configuration_never_goes_back";
    case promise::one_giver_of_orders:
        return "one_giver_of_orders";
    case promise::planned_stop_loses_nothing:
        return "planned_stop_loses_nothing";
    case promise::work_ends_with_its_caller:
        return "work_ends_with_its_caller";
    case promise::proper_requests_are_taken:
        return "proper_requests_are_taken";
    case promise::serves_again_after_faults:
        return "serves_again_after_faults";
    case promise::nothing_unexplained:
        return "nothing_unexplained";
    }
    return "unknown";
}

std::vector<broken_promise> broken_promises(const observations& seen, const promise_bounds& bounds,
                                            time_point end) {
    return examiner(seen, bounds, end).examine();
}

} // namespace parsleypitch::soak
