#include "guarantees.hpp"

#include "forwarding/response_status.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace parsleypitch::soak {

namespace {

constexpr unsigned first_rejection_status = 300;

/// Checks every guarantee and collects the violations.
class guarantee_checker {
  public:
    guarantee_checker(const observations& observed, const guarantee_bounds& bounds, time_point end)
        : m_observed(observed), m_bounds(bounds), m_end(end) {}

    std::vector<guarantee_violation> check() {
        for (const auto& [id, request] : m_observed.requests) {
            check_runs(request);
            check_answer(request);
            check_leaving_servers(request);
            check_configuration(request);
            check_planned_stops(request);
            check_disconnected_caller(request);
        }
        check_statements();
        check_attempts();
        check_rejections();
        check_retries();
        check_downgrades();
        check_orders();
        check_usage_reports();
        check_recovery();
        for (const std::string& anomaly : m_observed.anomalies) {
            add_violation(guarantee::nothing_unexplained, anomaly);
        }
        return std::move(m_violations);
    }

  private:
    void add_violation(guarantee which, std::string detail) {
        m_violations.push_back({which, std::move(detail)});
    }

    [[nodiscard]] static std::string describe(const observed_request& request) {
        std::ostringstream text;
        text << "request " << request.id << " at " << request.host;
        for (const observed_run& run : request.runs) {
            text << ", run by " << run.server;
        }
        if (request.answer) {
            text << ", answered " << request.answer->status
                 << (request.answer->complete ? "" : " incompletely");
        }
        return text.str();
    }

    /// Whether no disturbance overlaps the time span or the contact time before it.
    [[nodiscard]] bool undisturbed(time_point from, time_point until) const {
        return std::none_of(m_observed.disturbances.begin(), m_observed.disturbances.end(),
                            [&](const time_span& disturbance) {
                                return disturbance.from <= until &&
                                       disturbance.until >= from - m_bounds.contact;
                            });
    }

    void check_runs(const observed_request& request) {
        if (!request.repeatable() && request.runs.size() > 1) {
            add_violation(guarantee::runs_once, describe(request));
        }
        for (std::size_t i = 1; i < request.runs.size() && request.kind == request_kind::stream; ++i) {
            const time_point begins = request.runs[i].began;
            const time_point before_ends = request.runs[i - 1].ended.value_or(m_end);
            if (before_ends > begins + m_bounds.overlap && undisturbed(request.sent, before_ends)) {
                add_violation(guarantee::one_run_at_a_time, describe(request));
            }
        }
        for (const observed_run& run : request.runs) {
            if (!run.unaltered || !run.own_kv_cache || run.shows_key) {
                add_violation(guarantee::request_is_unaltered, describe(request));
            }
            const bool allowed =
                std::any_of(m_observed.configurations.begin(), m_observed.configurations.end(),
                            [&](const observed_configuration& each) { return each.allows(request, run); });
            if (!allowed) {
                add_violation(guarantee::service_is_allowed, describe(request) + ", service " +
                                                                 run.service.str() + ", account " +
                                                                 run.account.str());
            }
        }
    }

    void check_answer(const observed_request& request) {
        if (!request.answer || request.answer->unsent) {
            return;
        }
        const observed_answer& answer = *request.answer;
        if (answer.foreign) {
            add_violation(guarantee::answer_is_whole,
                          describe(request) + ", answer has the id of another request");
        }
        if (detail::promises_not_run(answer.status) && !request.repeatable() && !request.runs.empty()) {
            add_violation(guarantee::refusal_is_true, describe(request));
        }
        if (detail::is_success(answer.status)) {
            const bool body_matches = answer.complete ? answer.body == request.expected_body
                                                      : request.expected_body.rfind(answer.body, 0) == 0;
            if (!body_matches || !answer.sealed) {
                add_violation(guarantee::answer_is_whole,
                              describe(request) + ", body of " + std::to_string(answer.body.size()) +
                                  " bytes for " + std::to_string(request.expected_body.size()));
            }
        } else if (answer.sealed &&
                   std::none_of(request.runs.begin(), request.runs.end(),
                                [&](const observed_run& run) { return run.status == answer.status; })) {
            add_violation(guarantee::answer_is_whole,
                          describe(request) + ", but no engine answered with this status");
        }
    }

    void check_leaving_servers(const observed_request& request) {
        for (const observed_arrival& arrival : request.arrivals) {
            const auto left = m_observed.leaving.find(arrival.server);
            if (left != m_observed.leaving.end() && arrival.at > left->second + m_bounds.drain &&
                undisturbed(left->second, arrival.at)) {
                add_violation(guarantee::leaving_servers_get_no_work,
                              describe(request) + ", sent to " + arrival.server.str());
            }
        }
    }

    /// Whether the host was paused, or its way to the server was disturbed.
    [[nodiscard]] bool interrupted(const observed_statement& statement, time_point until) const {
        return std::any_of(m_observed.interruptions.begin(), m_observed.interruptions.end(),
                           [&](const observed_interruption& each) {
                               const bool concerns =
                                   each.host == statement.host || each.server == statement.server;
                               return concerns && each.span.from <= until && each.span.until >= statement.at;
                           });
    }

    void check_statements() {
        for (const observed_statement& statement : m_observed.statements) {
            const bool leaves = !statement.closed_for;
            const time_point from = statement.at + (leaves ? m_bounds.drain : m_bounds.stay_away);
            const time_point until = leaves ? m_end : statement.at + *statement.closed_for;
            std::size_t arrivals = 0;
            for (const auto& each : m_observed.requests) {
                const observed_request& request = each.second;
                if (request.host != statement.host || request.process != statement.process) {
                    continue;
                }
                arrivals += static_cast<std::size_t>(std::count_if(
                    request.arrivals.begin(), request.arrivals.end(), [&](const observed_arrival& arrival) {
                        const time_point counted_at = leaves ? request.sent : arrival.at;
                        return arrival.server == statement.server && counted_at > from &&
                               arrival.at < until && !interrupted(statement, arrival.at);
                    }));
            }
            if (arrivals > (leaves ? 0 : m_bounds.tolerated_while_closed)) {
                add_violation(guarantee::stated_conditions_are_kept,
                              std::to_string(arrivals) + " requests from " + statement.host.str() + " to " +
                                  statement.server.str() +
                                  (leaves ? ", which leaves" : ", which wants none"));
            }
        }
    }

    void check_configuration(const observed_request& request) {
        for (const observed_run& run : request.runs) {
            const observed_configuration* required_configuration = nullptr;
            bool allowed = false;
            for (const observed_configuration& each : m_observed.configurations) {
                if (each.acknowledged + m_bounds.config_apply < request.sent) {
                    required_configuration = &each;
                    allowed = false;
                }
                allowed = allowed || each.allows(request, run);
            }
            if (required_configuration != nullptr && !allowed &&
                undisturbed(required_configuration->acknowledged, run.began)) {
                add_violation(guarantee::configuration_is_current,
                              describe(request) + ", service " + run.service.str() + ", version " +
                                  std::to_string(required_configuration->version.value()));
            }
        }
    }

    /// Checks that a process that has used a configuration uses no older one for later requests.
    void check_downgrades() {
        struct seen_version {
            std::size_t index = 0;
            time_point at;
        };
        std::vector<const observed_request*> by_run;
        for (const auto& [id, request] : m_observed.requests) {
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
            while (used < m_observed.configurations.size() &&
                   m_observed.configurations[used].services.at(request->route) != run.service) {
                ++used;
            }
            const bool acknowledged_before_run = used < m_observed.configurations.size() &&
                                                 m_observed.configurations[used].acknowledged <= run.began;
            if (acknowledged_before_run) {
                newest[{request->host, request->process}] = {used, run.began};
                continue;
            }
            // Faults may slow a host down, so that it gets eight times the slack.
            constexpr int disturbed_slack_factor = 8;
            const duration slack = m_bounds.downgrade_slack *
                                   (undisturbed(request->sent, run.began) ? 1 : disturbed_slack_factor);
            if (known != newest.end() && request->sent > known->second.at + slack) {
                add_violation(guarantee::configuration_never_goes_back, describe(*request));
            }
        }
    }

    void check_planned_stops(const observed_request& request) {
        const bool lost = !request.answer || (!request.answer->complete && !request.answer->unsent);
        const bool forwarded = !request.runs.empty() && !request.caller_disconnected_at;
        if (!lost || !forwarded) {
            return;
        }
        const time_point ended = request.answer ? request.answer->at : m_end;
        for (const auto& [host, at] : m_observed.planned_stops) {
            const bool near_stop =
                request.sent + m_bounds.contact > at && request.sent < at + m_bounds.stop_grace + seconds(1);
            if (host == request.host && near_stop && ended > at && undisturbed(request.sent, ended)) {
                add_violation(guarantee::planned_stop_loses_nothing, describe(request));
                return;
            }
        }
    }

    void check_disconnected_caller(const observed_request& request) {
        const bool cancellable = request.repeatable() || request.kind == request_kind::stream;
        if (!request.caller_disconnected_at || !cancellable) {
            return;
        }
        const time_point deadline = *request.caller_disconnected_at + m_bounds.work_after_disconnect;
        for (const observed_run& run : request.runs) {
            if (run.ended.value_or(m_end) > deadline && undisturbed(request.sent, deadline)) {
                add_violation(guarantee::work_ends_with_its_caller, describe(request));
            }
        }
        for (const observed_arrival& arrival : request.arrivals) {
            if (arrival.at > deadline && undisturbed(request.sent, arrival.at)) {
                add_violation(guarantee::work_ends_with_its_caller,
                              describe(request) + ", forwarded again after the caller disconnected");
            }
        }
    }

    void check_attempts() {
        std::vector<std::string> over_limit;
        for (const auto& [id, request] : m_observed.requests) {
            std::set<backend_server_id> servers;
            for (const observed_run& run : request.runs) {
                servers.insert(run.server);
            }
            if (servers.size() > request.max_attempts) {
                over_limit.push_back(describe(request));
            }
        }
        if (over_limit.size() > m_bounds.tolerated_extra_attempts) {
            add_violation(guarantee::attempts_are_limited,
                          std::to_string(over_limit.size()) + " requests, " + over_limit.front());
        }
    }

    void check_rejections() {
        std::vector<std::string> rejected;
        for (const auto& [id, request] : m_observed.requests) {
            const unsigned status = request.answer ? request.answer->status : 0;
            if (request.has_lasting_key && status >= first_rejection_status &&
                status < detail::first_server_failure && !detail::promises_not_run(status)) {
                rejected.push_back(describe(request));
            }
        }
        if (rejected.size() > m_bounds.tolerated_rejections) {
            add_violation(guarantee::proper_requests_are_taken,
                          std::to_string(rejected.size()) + " requests, " + rejected.front());
        }
    }

    void check_retries() {
        struct send_counts {
            std::vector<time_point> requests;
            std::vector<time_point> repeated;
        };
        std::map<backend_service_id, send_counts> services;
        for (const auto& [id, request] : m_observed.requests) {
            bool first = true;
            bool first_prefill = true;
            for (const observed_arrival& arrival : request.arrivals) {
                if (arrival.prefill_only && arrival.accepted && std::exchange(first_prefill, false)) {
                    continue;
                }
                send_counts& counts = services[arrival.service];
                if (std::exchange(first, false)) {
                    counts.requests.push_back(request.sent);
                } else {
                    counts.repeated.push_back(arrival.at);
                }
            }
        }
        for (auto& [service, counts] : services) {
            std::sort(counts.requests.begin(), counts.requests.end());
            std::sort(counts.repeated.begin(), counts.repeated.end());
            for (const time_point from : counts.repeated) {
                const auto repeated = count_from(counts.repeated, from);
                // The requests of the previous window count instead if there are more of them.
                const auto requests = std::max(count_from(counts.requests, from),
                                               count_from(counts.requests, from - m_bounds.retry_window));
                if (repeated > m_bounds.retry_ratio * requests + m_bounds.retry_allowance) {
                    add_violation(guarantee::retries_are_limited,
                                  "service " + service.str() + ": " + std::to_string(repeated) +
                                      " repeated sends for " + std::to_string(requests) + " requests");
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
        for (const observed_order& order : m_observed.orders) {
            const auto before = last.find(order.server);
            if (before != last.end()) {
                const observed_order& previous = before->second;
                const bool stale = order.term < previous.term;
                const bool same_term = order.term == previous.term && order.holder != previous.holder;
                const bool before_lease_end =
                    order.holder != previous.holder && order.at < previous.at + m_bounds.lease;
                if (stale || same_term || before_lease_end) {
                    add_violation(guarantee::one_giver_of_orders,
                                  order.server.str() + ": " + order.holder.str() + " in term " +
                                      std::to_string(order.term.value()) + " after " + previous.holder.str() +
                                      " in term " + std::to_string(previous.term.value()));
                }
            }
            last.insert_or_assign(order.server, order);
        }
    }

    /// Checks that no two reports of a window differ; repeats are allowed.
    void check_usage_reports() {
        std::map<std::uint64_t, std::string> known;
        for (const observed_usage_report& report : m_observed.usage_reports) {
            const auto [first, added] = known.try_emplace(report.window, report.content);
            if (!added && first->second != report.content) {
                add_violation(guarantee::usage_is_reported_once, "window " + std::to_string(report.window) +
                                                                     ": " + first->second + " and " +
                                                                     report.content);
            }
        }
    }

    void check_recovery() {
        if (!m_observed.faults_ended) {
            return;
        }
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto& [id, request] : m_observed.requests) {
            const bool counted = request.sent > *m_observed.faults_ended + m_bounds.recovery &&
                                 request.answer && !request.caller_disconnected_at && request.has_lasting_key;
            if (counted) {
                ++sent;
                served += request.served() ? 1 : 0;
            }
        }
        if (static_cast<double>(served) < m_bounds.min_served_share * static_cast<double>(sent)) {
            add_violation(guarantee::serves_again_after_faults,
                          std::to_string(served) + " of " + std::to_string(sent) + " requests served");
        }
    }

    const observations& m_observed;
    const guarantee_bounds& m_bounds;
    time_point m_end;
    std::vector<guarantee_violation> m_violations;
};

} // namespace

bool observed_request::served() const {
    return answer && answer->complete && detail::is_success(answer->status);
}

std::string_view to_string(guarantee which) noexcept {
    switch (which) {
    case guarantee::runs_once:
        return "runs_once";
    case guarantee::one_run_at_a_time:
        return "one_run_at_a_time";
    case guarantee::refusal_is_true:
        return "refusal_is_true";
    case guarantee::answer_is_whole:
        return "answer_is_whole";
    case guarantee::request_is_unaltered:
        return "request_is_unaltered";
    case guarantee::service_is_allowed:
        return "service_is_allowed";
    case guarantee::attempts_are_limited:
        return "attempts_are_limited";
    case guarantee::retries_are_limited:
        return "retries_are_limited";
    case guarantee::leaving_servers_get_no_work:
        return "leaving_servers_get_no_work";
    case guarantee::stated_conditions_are_kept:
        return "stated_conditions_are_kept";
    case guarantee::configuration_is_current:
        return "configuration_is_current";
    case guarantee::configuration_never_goes_back:
        return "configuration_never_goes_back";
    case guarantee::one_giver_of_orders:
        return "one_giver_of_orders";
    case guarantee::usage_is_reported_once:
        return "usage_is_reported_once";
    case guarantee::planned_stop_loses_nothing:
        return "planned_stop_loses_nothing";
    case guarantee::work_ends_with_its_caller:
        return "work_ends_with_its_caller";
    case guarantee::proper_requests_are_taken:
        return "proper_requests_are_taken";
    case guarantee::serves_again_after_faults:
        return "serves_again_after_faults";
    case guarantee::nothing_unexplained:
        return "nothing_unexplained";
    }
    return "unknown";
}

std::vector<guarantee_violation> find_violations(const observations& observed, const guarantee_bounds& bounds,
                                                 time_point end) {
    return guarantee_checker(observed, bounds, end).check();
}

} // namespace parsleypitch::soak
