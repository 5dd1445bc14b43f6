#pragma once

#include <parsleypitch/core/units.hpp>
#include <parsleypitch/kernel/kernel.hpp>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace parsleypitch {

enum class log_level { info, warning };

/// @brief A key and its value in a log line.
struct log_field {
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    log_field(std::string_view k, const std::string& v) : key(k), value(std::string_view(v)) {}
    log_field(std::string_view k, const char* v) : key(k), value(std::string_view(v)) {}
    log_field(std::string_view k, bool v) : key(k), value(v) {}
    log_field(std::string_view k, std::int64_t v) : key(k), value(v) {}
    log_field(std::string_view k, std::uint64_t v) : key(k), value(static_cast<std::int64_t>(v)) {}
    log_field(std::string_view k, unsigned v) : key(k), value(static_cast<std::int64_t>(v)) {}
    log_field(std::string_view k, double v) : key(k), value(v) {}
    /// @brief The duration is written in milliseconds.
    log_field(std::string_view k, duration v);
    template <class Tag>
    log_field(std::string_view k, const string_id<Tag>& v) : key(k), value(std::string_view(v.str())) {}
    template <class Tag>
    log_field(std::string_view k, const number_id<Tag>& v)
        : key(k), value(static_cast<std::int64_t>(v.value())) {}

    std::string_view key;
    std::variant<std::string_view, bool, std::int64_t, double> value;
};

/// @brief Output, rate limit and buffer of an event log.
struct event_log_options {
    /// @brief File descriptor that lines are written to; 1 is the standard output.
    int descriptor = 1;
    /// @brief Sustained rate limit; lines above it are dropped and counted.
    double lines_per_second = 400;
    /// @brief Number of lines that may exceed the sustained rate in a burst.
    double burst = 800;
    /// @brief Most bytes buffered while the reader does not read; further lines are dropped and counted.
    std::size_t max_buffered_bytes = 262'144;
};

/// @brief Structured log with one JSON object per line; never blocks on the reader and is thread-safe.
///
/// Lines are buffered in memory until `flush`, which has to be called regularly. Lines are dropped above the
/// rate limit or when the buffer is full; the number of dropped lines is logged before the next line.
class event_log final : public service {
  public:
    explicit event_log(event_log_options options = {});
    ~event_log() override;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    event_log(event_log&&) = delete;
    event_log& operator=(event_log&&) = delete;

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Writes a line unless the rate limit or the buffer limit is exceeded.
    /// @param event name of the event in snake case
    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    void info(std::string_view event, std::initializer_list<log_field> fields) {
        write(log_level::info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<log_field> fields) {
        write(log_level::warning, event, fields);
    }
    /// @brief Writes buffered lines as far as the descriptor takes them without blocking.
    void flush();
    /// @brief Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped_lines() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Name under which the log is registered in the kernel.
[[nodiscard]] service_name event_log_service_name();

} // namespace parsleypitch
