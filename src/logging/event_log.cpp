#include <parsleypitch/logging/event_log.hpp>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>

namespace parsleypitch {

namespace detail {

/// PIPE_BUF: a write of at most this size does not block on a pipe that `poll` reports as writable.
constexpr std::size_t atomic_write_size = 4096;

/// Buffers lines and writes as many as the descriptor takes without blocking.
class nonblocking_sink final : public spdlog::sinks::base_sink<std::mutex> {
  public:
    nonblocking_sink(int descriptor, std::size_t limit)
        : m_descriptor(descriptor), m_max_pending_bytes(limit) {}

    [[nodiscard]] std::uint64_t dropped() {
        const std::lock_guard<std::mutex> lock(mutex_);
        return m_dropped;
    }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        if (m_pending.size() + line.size() > m_max_pending_bytes) {
            ++m_dropped;
            return;
        }
        m_pending.append(line.data(), line.size());
        if (m_pending.size() >= atomic_write_size) {
            flush_();
        }
    }

    void flush_() override {
        std::size_t done = 0;
        while (done < m_pending.size()) {
            pollfd ready{m_descriptor, POLLOUT, 0};
            if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
                break;
            }
            const std::size_t part = std::min(m_pending.size() - done, atomic_write_size);
            const ssize_t written = ::write(m_descriptor, m_pending.data() + done, part);
            if (written <= 0) {
                break;
            }
            done += static_cast<std::size_t>(written);
        }
        m_pending.erase(0, done);
    }

  private:
    int m_descriptor;
    std::size_t m_max_pending_bytes;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace detail

log_field::log_field(std::string_view k, duration v)
    : key(k), value(std::chrono::duration<double, std::milli>(v).count()) {
}

struct event_log::state {
    explicit state(event_log_options o)
        : options(o), sink(std::make_shared<detail::nonblocking_sink>(o.descriptor, o.max_buffered_bytes)),
          logger("parsleypitch", sink), tokens(o.burst), last_refill(std::chrono::steady_clock::now()) {
        logger.set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e","level":"%l",%v})",
                           spdlog::pattern_time_type::utc);
    }

    /// Takes a token for one line from the rate limit.
    /// @param newly_dropped number of lines dropped since the last reported count
    /// @return false if the rate limit is exceeded
    bool acquire_token(std::uint64_t& newly_dropped) {
        const std::lock_guard<std::mutex> lock(mutex);
        const time_point now = std::chrono::steady_clock::now();
        tokens = std::min(options.burst, tokens + to_seconds(now - last_refill) * options.lines_per_second);
        last_refill = now;
        if (tokens < 1) {
            ++rate_limited;
            return false;
        }
        tokens -= 1;
        const std::uint64_t total_dropped = rate_limited + sink->dropped();
        newly_dropped = total_dropped - reported_dropped;
        reported_dropped = total_dropped;
        return true;
    }

    event_log_options options;
    std::shared_ptr<detail::nonblocking_sink> sink;
    spdlog::logger logger;
    std::mutex mutex;
    double tokens;
    time_point last_refill;
    std::uint64_t rate_limited = 0;
    std::uint64_t reported_dropped = 0;
};

event_log::event_log(event_log_options options) : m_state(std::make_unique<state>(options)) {
}
event_log::~event_log() = default;

service_name event_log::name() const {
    return event_log_service_name();
}

result<void> event_log::start(kernel& /*host*/) {
    return success();
}

void event_log::stop() {
    flush();
}

void event_log::write(log_level level, std::string_view event, std::initializer_list<log_field> fields) {
    std::uint64_t newly_dropped = 0;
    if (!m_state->acquire_token(newly_dropped)) {
        return;
    }
    if (newly_dropped > 0) {
        m_state->logger.warn(R"("event":"log_lines_left_out","count":{})", newly_dropped);
    }
    nlohmann::ordered_json line;
    line["event"] = event;
    for (const log_field& field : fields) {
        std::visit([&line, &field](const auto& value) { line[std::string(field.key)] = value; }, field.value);
    }
    // Ids come from callers and may contain invalid UTF-8, which is replaced.
    const std::string object = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::string_view members = std::string_view(object).substr(1, object.size() - 2);
    m_state->logger.log(level == log_level::info ? spdlog::level::info : spdlog::level::warn, members);
}

void event_log::flush() {
    m_state->logger.flush();
}

std::uint64_t event_log::dropped_lines() const {
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->rate_limited + m_state->sink->dropped();
}

service_name event_log_service_name() {
    return service_name("event_log");
}

} // namespace parsleypitch
