#pragma once

#include <parsleypitch/core/hooks.hpp>

#include <nlohmann/json.hpp>

#include <istream>
#include <optional>
#include <string>

namespace parsleypitch::detail {

/// @brief A parsed line of the event log of an entry host.
struct log_line {
    wall_time at;
    std::string event;
    nlohmann::json fields;

    /// @return the field as text (JSON if it is not a string); empty if there is no such field
    [[nodiscard]] std::string text(const char* key) const;
    /// @return the numeric value of a field; 0 if there is no such field or it is not a number
    [[nodiscard]] double number(const char* key) const;
};

/// @brief Parses a line of an event log.
/// @return `std::nullopt` if the text is not a valid line
[[nodiscard]] std::optional<log_line> parse_log_line(const std::string& text);

/// @brief Reads the log of one host in order. Empty lines are skipped.
/// @param on_line called for each valid line
/// @return the number of lines that could not be parsed
template <class Callback>
std::uint64_t read_log(std::istream& from, Callback on_line) {
    std::uint64_t unreadable = 0;
    for (std::string text; std::getline(from, text);) {
        if (text.empty()) {
            continue;
        }
        if (const auto line = parse_log_line(text)) {
            on_line(*line);
        } else {
            ++unreadable;
        }
    }
    return unreadable;
}

} // namespace parsleypitch::detail
