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

/// @brief One named value of a log line.
struct log_field {
    log_field(std::string_view k, std::string_view v) : key(k), value(v) {}
    log_field(std::string_view k, const std::string& v) : key(k), value(std::string_view(v)) {}
    log_field(std::string_view k, const char* v) : key(k), value(std::string_view(v)) {}
    log_field(std::string_view k, bool v) : key(k), value(v) {}
    log_field(std::string_view k, std::int64_t v) : key(k), value(v) {}
    log_field(std::string_view k, std::uint64_t v) : key(k), value(static_cast<std::int64_t>(v)) {}
    log_field(std::string_view k, unsigned v) : key(k), value(static_cast<std::int64_t>(v)) {}
    log_field(std::string_view k, double v) : key(k), value(v) {}
    /// @brief Written in milliseconds.
    log_field(std::string_view k, duration v);
    template <class Tag>
    log_field(std::string_view k, const string_id<Tag>& v) : key(k), value(std::string_view(v.str())) {}
    template <class Tag>
    log_field(std::string_view k, const number_id<Tag>& v)
        : key(k), value(static_cast<std::int64_t>(v.value())) {}

    std::string_view key;
    std::variant<std::string_view, bool, std::int64_t, double> value;
};

struct event_log_options {
    int descriptor = 1; // standard output
    /// @brief Lines a second that are written in the long run; more are counted and left out.
    double lines_per_second = 400;
    /// @brief Lines that may come at once.
    double burst = 800;
    /// @brief Bytes that wait for a reader that does not read; further lines are left out.
    std::size_t max_buffered_bytes = 262'144;
};

/// @brief Writes one JSON object a line, without ever waiting for the reader; safe for all threads.
///
/// Lines collect in memory until `flush`, which somebody has to call regularly. What is left out, because
/// there are too many lines or because nobody reads, is counted and reported in a line of its own later.
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

    /// @param event what happened, in snake case
    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields);
    void info(std::string_view event, std::initializer_list<log_field> fields) {
        write(log_level::info, event, fields);
    }
    void warning(std::string_view event, std::initializer_list<log_field> fields) {
        write(log_level::warning, event, fields);
    }
    void flush();
    [[nodiscard]] std::uint64_t dropped_lines() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

/// @brief Name under which the log is found in the kernel.
[[nodiscard]] service_name event_log_service_name();

} // namespace parsleypitch
