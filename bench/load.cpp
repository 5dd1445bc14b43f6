#include "load.hpp"

#include "fleet.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace parsleypitch::bench {

namespace {

constexpr milliseconds start_delay{100};
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds answer_margin{10'000};

} // namespace

/// Connections of one thread to all entry hosts.
class load::client {
  public:
    client(const std::vector<endpoint>& entries, const fleet_spec& spec) : m_spec(&spec) {
        for (const endpoint& entry : entries) {
            auto connection = std::make_unique<httplib::Client>("http://" + entry.str());
            connection->set_keep_alive(true);
            connection->set_tcp_nodelay(true);
            connection->set_connection_timeout(connect_timeout);
            m_connections.push_back(std::move(connection));
        }
    }

    call_record call(const arrival& sent, time_point intended) {
        const http_request content = request_of(sent, *m_spec);
        const duration send_lag = std::chrono::steady_clock::now() - intended;
        call_record record;
        for (std::size_t attempt = 0; attempt < m_connections.size(); ++attempt) {
            // Consecutive requests go to different entry hosts, as the platform's load balancer distributes
            // them.
            const std::size_t chosen = (sent.number + attempt) % m_connections.size();
            record = call_at(*m_connections[chosen], sent, content, intended);
            record.connect_retries = attempt;
            if (record.end != call_outcome::unreachable) {
                break;
            }
        }
        record.send_lag = send_lag;
        return record;
    }

  private:
    call_record call_at(httplib::Client& connection, const arrival& sent, const http_request& content,
                        time_point intended) const {
        const auto elapsed = [intended] { return std::chrono::steady_clock::now() - intended; };
        answer_reader reader(sent, sent.kind == load_kind::generation ? prompt_of(sent) : std::string());
        httplib::Request request;
        request.method = "POST";
        request.path = content.path;
        request.body = content.body;
        request.set_header("Content-Type", "application/json");
        for (const auto& [name, value] : content.headers) {
            request.set_header(name, value);
        }
        request.response_handler = [&](const httplib::Response& head) {
            const bool streamed =
                head.get_header_value("Content-Type").find("event-stream") != std::string::npos;
            reader.on_head(head.status, head.get_header_value("X-Request-Id"), streamed);
            return true;
        };
        request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            reader.on_body({data, size}, elapsed());
            return true;
        };
        connection.set_read_timeout(m_spec->ranks[index_of(sent.rank)].deadline + answer_margin);
        httplib::Response response;
        httplib::Error error = httplib::Error::Success;
        const bool complete = connection.send(request, response, error);
        call_record record = reader.finish(complete, elapsed());
        if (!complete && error == httplib::Error::Connection) {
            record.end = call_outcome::unreachable;
        }
        return record;
    }

    const fleet_spec* m_spec;
    std::vector<std::unique_ptr<httplib::Client>> m_connections;
};

load::load(fleet_spec spec, std::vector<arrival> arrivals)
    : m_spec(std::move(spec)), m_arrivals(std::move(arrivals)), m_records(m_arrivals.size()),
      m_sent_flags(m_arrivals.size()) {
}

load::~load() {
    stop();
}

result<void> load::start(kernel& host) {
    const auto found = host.find<fleet>(service_name("fleet"));
    if (!found) {
        return found.error();
    }
    for (const entry_plan& entry : found.value()->plan().entries) {
        m_entries.push_back(entry.callers);
    }
    m_origin = std::chrono::steady_clock::now() + start_delay;
    m_active = m_spec.clients;
    for (std::size_t i = 0; i < m_spec.clients; ++i) {
        m_threads.emplace_back([this] { run_client(); });
    }
    return success();
}

bool load::wait_until(time_point at) {
    std::unique_lock lock(m_mutex);
    return !m_stop_changed.wait_until(lock, at, [this] { return m_stopping; });
}

void load::run_client() {
    client connections(m_entries, m_spec);
    for (std::size_t index = m_next++; index < m_arrivals.size(); index = m_next++) {
        const arrival& sent = m_arrivals[index];
        const time_point intended = m_origin + sent.at;
        if (!wait_until(intended)) {
            break;
        }
        call_record record;
        try {
            record = connections.call(sent, intended);
        } catch (const nlohmann::json::exception& failure) {
            // A response with unexpected field types counts as broken and must not abort the
            // bench.
            record.end = call_outcome::broken;
            record.reason = failure.what();
        }
        record.arrival = index;
        count(record, sent);
        // Each index belongs to one thread, so no lock is needed.
        m_records[index] = std::move(record);
        m_sent_flags[index] = 1;
    }
    --m_active;
}

void load::count(const call_record& record, const arrival& sent) {
    ++m_ends[static_cast<std::size_t>(record.end)];
    if (within_target(record, sent, m_spec.ranks[index_of(sent.rank)])) {
        ++m_in_target[index_of(sent.rank)];
    }
}

void load::drain() {
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_stop_changed.notify_all();
    for (std::thread& each : m_threads) {
        each.join();
    }
    m_threads.clear();
}

void load::stop() {
    drain();
}

load_progress load::progress() const {
    load_progress now;
    now.scheduled = m_arrivals.size();
    now.answered = m_ends[static_cast<std::size_t>(call_outcome::answered)];
    now.refused = m_ends[static_cast<std::size_t>(call_outcome::refused)];
    now.failed = m_ends[static_cast<std::size_t>(call_outcome::broken)] +
                 m_ends[static_cast<std::size_t>(call_outcome::unreachable)];
    now.sent = now.answered + now.refused + now.failed;
    for (const rank r : all_ranks) {
        now.in_target[index_of(r)] = m_in_target[index_of(r)];
    }
    return now;
}

std::vector<call_record> load::records() const {
    std::vector<call_record> sent;
    for (std::size_t i = 0; i < m_records.size(); ++i) {
        if (m_sent_flags[i] != 0) {
            sent.push_back(m_records[i]);
        }
    }
    return sent;
}

} // namespace parsleypitch::bench
