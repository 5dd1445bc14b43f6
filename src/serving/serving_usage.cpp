#include <parsleypitch/http/broken_response_count.hpp>
#include <parsleypitch/serving/drain_schedule.hpp>
#include <parsleypitch/serving/serving_usage.hpp>

#include <asio/io_context.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr milliseconds tick_period{250};
/// Interval at which copies of counts are sent and the list of hosts is read.
constexpr milliseconds upkeep_period{1000};
constexpr milliseconds query_timeout{1000};
constexpr milliseconds copy_timeout{1000};
/// Time for the answer of the service to a report, which is repeated afterwards.
constexpr milliseconds report_timeout{3000};
/// Longest time for the hand-over of the counts of a stopping host.
constexpr milliseconds hand_over_limit{400};
constexpr milliseconds hand_over_timeout{150};
/// Hosts that keep a copy of the same counts.
constexpr std::size_t copies = 2;
constexpr unsigned status_ok = 200;

const std::string query_path = "/usage-counts";
const std::string copy_path = "/usage-copies";
constexpr const char* requests_metric = "parsleypitch_usage_requests_total";

request_count sum_of(const account_counts& counts) {
    request_count sum;
    for (const auto& [account, count] : counts) {
        sum += count;
    }
    return sum;
}

} // namespace

struct serving_usage::hand_over {
    std::string body;
    std::vector<endpoint> candidates;
    std::size_t next = 0;
    std::size_t running = 0;
    std::size_t kept = 0;
    bool is_over = false;
    std::promise<void> done;
};

serving_usage::serving_usage(usage_origin self, const serve_settings& settings, backend_protocol protocol,
                             clock_hook clock, wall_clock_hook day)
    : m_self(std::move(self)), m_own_address(settings.peers), m_service(settings.duty_service),
      m_grace(settings.stop_grace),
      m_is_configured(!settings.duty_service.empty() && settings.usage_window > duration::zero()),
      m_protocol(std::move(protocol)), m_clock(std::move(clock)), m_day(std::move(day)) {
    if (!m_is_configured) {
        return;
    }
    m_timing.window = settings.usage_window;
    // Half of the time until a report is due is left for the store, the call and its repetition.
    m_timing.longest_wait = std::max<duration>(m_timing.settle, settings.usage_due / 2);
    m_reporter = usage_reporter(m_timing, settings.whole_system_starts
                                              ? std::optional(usage_window_at(m_day(), m_timing.window))
                                              : std::nullopt);
}

service_name serving_usage::name() const {
    return serving_usage_name();
}

result<void> serving_usage::start(kernel& host) {
    BOOST_OUTCOME_TRY(log, host.find<event_log>(event_log_service_name()));
    BOOST_OUTCOME_TRY(metrics, host.find<metrics_registry>(metrics_service_name()));
    BOOST_OUTCOME_TRY(traffic, host.find<serving_traffic>(serving_traffic_name()));
    BOOST_OUTCOME_TRY(roles, host.find<serving_roles>(serving_roles_name()));
    BOOST_OUTCOME_TRY(calls, host.find<peer_calls>(peer_calls_name()));
    m_kernel = &host;
    m_log = log;
    m_metrics = metrics;
    m_traffic = traffic;
    m_roles = roles;
    m_calls = calls;
    m_is_configured = m_is_configured && m_calls->enabled();
    if (!m_is_configured) {
        return success();
    }
    m_client = std::make_unique<http::client>(host.control_context(), http::client_limits{});
    const auto weak = weak_from_this();
    m_calls->on_call(query_path, [weak](const std::string& body) {
        const auto self = weak.lock();
        return self ? self->answer_query(body) : std::nullopt;
    });
    m_calls->on_call(copy_path, [weak](const std::string& body) {
        const auto self = weak.lock();
        return self ? self->keep_copy(body) : std::nullopt;
    });
    m_traffic->on_usage(m_day, [weak](const serving_traffic::usage_batch& batch) {
        if (const auto self = weak.lock()) {
            self->count(batch);
        }
    });
    host.post_control_every(tick_period, [weak] {
        if (const auto self = weak.lock()) {
            self->tick();
        }
    });
    return success();
}

void serving_usage::stop() {
    m_kernel->post_control([self = shared_from_this()] { self->m_record.reset(); });
}

void serving_usage::open(object_handle record) {
    m_record = std::move(record);
}

void serving_usage::on_restored() {
    m_reporter.on_restored();
}

void serving_usage::tick() {
    // Counts from before the accounts were removed are still reported.
    const bool has_work = m_has_accounts || m_send || !m_counts.origins().empty();
    if (!has_work || !m_record) {
        return;
    }
    const usage_time at = time();
    const auto term = m_roles->duty_term();
    if (m_send && m_send->term != term) {
        m_send->call.cancel();
        end_send(false, "the term ended");
    }
    if (std::exchange(m_term, term) != term) {
        m_gathering.begin();
    }
    m_reporter.observe_term(term, at.now);
    if (!term) {
        return;
    }
    if (at.now >= m_next_upkeep) {
        m_next_upkeep = at.now + upkeep_period;
        m_traffic->query_peers([weak = weak_from_this()](const std::vector<endpoint>& peers) {
            if (const auto self = weak.lock()) {
                self->m_peers = peers;
                self->m_gathering.set_peers(peers);
            }
        });
        send_copies();
    }
    ask_peers(at);
    step();
}

void serving_usage::count(const serving_traffic::usage_batch& batch) {
    for (const auto& [window, counts] : batch) {
        for (const auto& [account, requests] : counts) {
            const bool in_time = m_counts.add(m_self, window, account, requests);
            count_left_out(in_time ? "counted" : "late", requests);
        }
    }
    count_left_out("dropped", m_counts.trim());
}

void serving_usage::count_left_out(const char* state, request_count requests) {
    if (requests > request_count()) {
        m_metrics->count(metric_name(requests_metric), {{"state", state}},
                         static_cast<std::uint64_t>(requests.value()));
    }
}

void serving_usage::forget_through(usage_window reported) {
    if (m_counts.reported() < reported) {
        m_counts.forget_through(reported);
    }
}

std::optional<std::string> serving_usage::answer_query(const std::string& body) {
    const auto query = decode_usage_query(body);
    if (!query) {
        return std::nullopt;
    }
    if (query.value().reported) {
        forget_through(*query.value().reported);
    }
    const usage_change after = query.value().asked == m_self.born ? query.value().after : usage_change();
    return encode_usage_news({m_self, m_counts.last_change(), m_counts.changes(after, query.value().from)});
}

std::optional<std::string> serving_usage::keep_copy(const std::string& body) {
    const auto news = decode_usage_news(body);
    if (!news) {
        return std::nullopt;
    }
    merge(news.value());
    return "{}";
}

void serving_usage::merge(const usage_news& news) {
    request_count late;
    request_count future;
    const usage_window newest = usage_window_at(m_day(), m_timing.window).next();
    for (const usage_count& each : news.counts) {
        // A host whose clock is ahead must not displace the windows that are due.
        if (each.window > newest) {
            future += each.count;
            continue;
        }
        // What this host has counted itself is never lower than what others know of it.
        if (each.origin != m_self) {
            late += m_counts.merge(each, news.from);
        }
    }
    count_left_out("late", late);
    count_left_out("dropped", future + m_counts.trim());
}

void serving_usage::ask_peers(const usage_time& at) {
    const auto end = m_reporter.next_end();
    const auto settle = std::chrono::duration_cast<wall_time::duration>(m_timing.settle);
    const auto settled = end ? std::optional(*end + settle) : std::nullopt;
    for (const endpoint& peer : m_gathering.due(at, settled)) {
        const auto [asked, after] = m_gathering.position(peer);
        m_gathering.on_asked(peer, at);
        const usage_query query{m_self, m_reporter.decided(), asked, after};
        m_calls->call(peer, query_path, encode_usage_query(query), query_timeout,
                      [weak = weak_from_this(), peer](const result<std::string>& answer) {
                          if (const auto self = weak.lock()) {
                              self->on_counts(peer, answer);
                          }
                      });
    }
}

void serving_usage::on_counts(const endpoint& peer, const result<std::string>& answer) {
    const auto news = answer ? decode_usage_news(answer.value()) : result<usage_news>(answer.error());
    if (news) {
        merge(news.value());
        m_gathering.on_ended(peer, query_end::answered, news.value().from, news.value().last);
    } else {
        const bool is_gone = news.error().code == errc::backend_not_listening;
        m_gathering.on_ended(peer, is_gone ? query_end::not_listening : query_end::failed, {}, {});
    }
    step();
}

std::vector<endpoint> serving_usage::in_ring(std::vector<endpoint> peers) const {
    std::sort(peers.begin(), peers.end());
    std::rotate(peers.begin(), std::upper_bound(peers.begin(), peers.end(), m_own_address), peers.end());
    return peers;
}

std::vector<usage_count> serving_usage::own_and_orphaned(const std::map<usage_origin, usage_change>& told) {
    const auto answering = m_gathering.answering();
    std::vector<usage_count> found;
    for (const usage_origin& origin : m_counts.origins()) {
        const bool tells_itself =
            m_term && std::any_of(answering.begin(), answering.end(),
                                  [&](const auto& each) { return each.second == origin; });
        if (!tells_itself) {
            const auto position = told.find(origin);
            const auto changes =
                m_counts.changes_of(origin, position == told.end() ? usage_change() : position->second);
            found.insert(found.end(), changes.begin(), changes.end());
        }
    }
    return found;
}

void serving_usage::send_copies() {
    const auto answering = m_gathering.answering();
    std::vector<endpoint> keepers;
    for (const endpoint& peer : in_ring(m_peers)) {
        if (keepers.size() < copies && answering.contains(peer)) {
            keepers.push_back(peer);
        }
    }
    std::erase_if(m_copies, [&keepers](const auto& each) {
        return !each.second.is_busy && std::find(keepers.begin(), keepers.end(), each.first) == keepers.end();
    });
    for (const endpoint& peer : keepers) {
        copy_state& state = m_copies[peer];
        const usage_origin& to = answering.at(peer);
        if (!state.is_busy && state.to != to) {
            state = {to, {}, false};
        }
        if (!state.is_busy) {
            send_copy(peer, state);
        }
    }
}

void serving_usage::send_copy(const endpoint& peer, copy_state& state) {
    const usage_news copy{m_self, m_counts.last_change(), own_and_orphaned(state.told)};
    if (copy.counts.empty()) {
        return;
    }
    auto told = state.told;
    for (const usage_count& each : copy.counts) {
        told[each.origin] = copy.last;
    }
    state.is_busy = true;
    m_calls->call(peer, copy_path, encode_usage_news(copy), copy_timeout,
                  [weak = weak_from_this(), peer, told](const result<std::string>& answer) {
                      const auto self = weak.lock();
                      if (!self) {
                          return;
                      }
                      copy_state& sent = self->m_copies[peer];
                      sent.is_busy = false;
                      if (answer) {
                          sent.told = told;
                      }
                  });
}

void serving_usage::drain() {
    if (!m_is_configured) {
        return;
    }
    const auto what = std::make_shared<hand_over>();
    auto done = what->done.get_future();
    m_traffic->flush_usage([self = shared_from_this(), what] {
        self->m_traffic->query_peers([self, what](const std::vector<endpoint>& peers) {
            const usage_news counts{self->m_self, self->m_counts.last_change(), self->own_and_orphaned({})};
            what->body = encode_usage_news(counts);
            what->candidates = counts.counts.empty() ? std::vector<endpoint>() : self->in_ring(peers);
            self->hand_over_to_next(what);
        });
    });
    // Half of the time after the last answers; the rest is for writing them and ending the process.
    const duration limit =
        std::min<duration>(hand_over_limit, (m_grace - make_drain_schedule(m_grace).last_answers) / 2);
    if (done.wait_for(limit) != std::future_status::ready) {
        m_log->warning("usage_hand_over_slow", {{"limit_ms", limit}});
    }
}

void serving_usage::hand_over_to_next(const std::shared_ptr<hand_over>& what) {
    while (what->kept + what->running < copies && what->next < what->candidates.size()) {
        ++what->running;
        const endpoint peer = what->candidates[what->next++];
        m_calls->call(peer, copy_path, what->body, hand_over_timeout,
                      [self = shared_from_this(), what](const result<std::string>& answer) {
                          --what->running;
                          what->kept += answer ? 1 : 0;
                          self->hand_over_to_next(what);
                      });
    }
    // Calls that end at once nest, so the end is reached several times.
    if (what->running == 0 && !std::exchange(what->is_over, true)) {
        if (!what->candidates.empty()) {
            m_log->info("usage_handed_over", {{"hosts", std::uint64_t{what->kept}}});
        }
        what->done.set_value();
    }
}

void serving_usage::step() {
    // The next tick takes note of a term that has changed since the last one.
    if (!m_record || !m_term || m_roles->duty_term() != m_term) {
        return;
    }
    const usage_time at = time();
    const usage_action action = m_reporter.next(at, m_gathering.gathered(at.day), m_counts);
    if (const auto abandoned = m_reporter.take_abandoned()) {
        m_log->warning("usage_report_given_up", {{"window", *abandoned}});
    }
    switch (action.step) {
    case usage_step::read:
        read_record();
        break;
    case usage_step::write:
        write_record(action);
        break;
    case usage_step::send:
        send_report(action.record);
        break;
    case usage_step::wait:
        break;
    }
}

void serving_usage::read_record() {
    m_record->read(false, [self = shared_from_this()](const result<object_reading>& reading) {
        const usage_time at = self->time();
        if (!reading) {
            self->m_reporter.on_read_failed(at);
            return;
        }
        const auto& object = reading.value().object;
        const auto record =
            object ? decode_usage_record(object->content)
                   : result<usage_record>(fail(errc::object_not_found, "no usage report is recorded"));
        self->m_log->info("usage_record_read",
                          {{"window", record ? record.value().report.window : usage_window()},
                           {"found", object.has_value()},
                           {"reason", record ? "" : record.error().detail}});
        self->m_reporter.on_read(
            record ? std::optional(record.value()) : std::nullopt,
            object ? object->revision : store_revision{reading.value().era, object_version()}, at);
        if (const auto decided = self->m_reporter.decided()) {
            self->forget_through(*decided);
        }
        self->step();
    });
}

void serving_usage::write_record(const usage_action& proposal) {
    m_record->write(encode_usage_record(proposal.record), proposal.expected,
                    [self = shared_from_this(), proposal](const result<store_revision>& written) {
                        self->on_written(proposal, written);
                    });
}

void serving_usage::on_written(const usage_action& proposal, const result<store_revision>& written) {
    if (!m_reporter.on_written(proposal, written, time())) {
        m_log->warning("usage_report_not_written",
                       {{"window", proposal.record.report.window},
                        {"reason", written ? "store_restored" : reason_name(written.error().code)}});
        return;
    }
    const usage_report& report = proposal.record.report;
    for (const auto& [account, requests] : m_counts.totals(report.window)) {
        const auto told = report.counts.find(account);
        count_left_out("late", requests - (told == report.counts.end() ? request_count() : told->second));
    }
    forget_through(report.window);
    log_report(proposal);
    step();
}

void serving_usage::log_report(const usage_action& proposal) {
    const usage_report& report = proposal.record.report;
    const wall_time end = usage_window_end(report.window, m_timing.window);
    m_log->info("usage_report", {{"window", report.window},
                                 {"accounts", std::uint64_t{report.counts.size()}},
                                 {"requests", sum_of(report.counts).value()},
                                 {"complete", proposal.complete},
                                 {"term", proposal.record.term},
                                 {"after_end_ms", duration(m_day() - end)}});
    count_left_out("reported", sum_of(report.counts));
    if (proposal.complete) {
        return;
    }
    const auto settle = std::chrono::duration_cast<wall_time::duration>(m_timing.settle);
    for (const endpoint& peer : m_gathering.missing(end + settle)) {
        m_log->warning("usage_counts_missing", {{"window", report.window}, {"host", peer}});
    }
}

void serving_usage::send_report(const usage_record& record) {
    http::request message = m_protocol.encode_usage_report(record.report, m_self.host, record.term);
    message.headers.set("Host", m_service.str());
    const auto self = shared_from_this();
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.sent = [self, term = record.term] {
        // The lease may have ended while the connection was opened or the machine was suspended.
        if (self->m_send && self->m_roles->duty_term() != term) {
            self->m_send->call.cancel();
            self->end_send(false, "the term ended");
        }
    };
    hooks.head = [self](const http::response_head& head) { self->m_send->status = head.status; };
    hooks.body = [](const std::string&) {};
    hooks.end = [self] { self->end_send(self->m_send->status == status_ok, ""); };
    hooks.failed = [self](const http::call_failure& why) {
        http::count_broken_response(*self->m_metrics, why);
        self->end_send(false, why.detail);
    };
    // A new connection: on a reused one a report could be delayed behind a blocked write.
    http::call_options options;
    options.max_idle_time = duration::zero();
    options.timeout = std::min<duration>(report_timeout, m_roles->duty_time_left());
    m_send = open_send{record.report.window, record.term, 0, {}};
    http::call_handle call = m_client->start(m_service, http::serialize(message), options, std::move(hooks));
    if (m_send) {
        m_send->call = std::move(call);
    }
}

void serving_usage::end_send(bool accepted, std::string_view reason) {
    const open_send ended = *std::exchange(m_send, std::nullopt);
    const usage_time at = time();
    const char* const event = ended.status == 0 ? "usage_report_unanswered" : "usage_report_answered";
    m_log->write(accepted ? log_level::info : log_level::warning, event,
                 {{"window", ended.window},
                  {"term", ended.term},
                  {"accepted", accepted},
                  {"status", ended.status},
                  {"reason", reason},
                  {"after_end_ms", duration(at.day - usage_window_end(ended.window, m_timing.window))}});
    m_metrics->count(metric_name("parsleypitch_usage_reports_total"), {{"accepted", accepted ? "1" : "0"}});
    m_reporter.on_answer(ended.window, accepted, at);
}

service_name serving_usage_name() {
    return service_name("serving_usage");
}

} // namespace parsleypitch
