#pragma once

#include <parsleypitch/core/hooks.hpp>

#include <nlohmann/json.hpp>

#include <istream>
#include <optional>
#include <string>

namespace parsleypitch::detail {

/// @brief One line of an entry host's output.
struct log_line {
    wall_time at;
    std::string event;
    nlohmann::json fields;

    /// @return the text of a field; empty if the line has no such field
    [[nodiscard]] std::string text(const char* key) const;
    /// @return the number of a field; 0 if the line has no such field
    [[nodiscard]] double number(const char* key) const;
};

/// @return nothing if the text is no line of an event log
[[nodiscard]] std::optional<log_line> parse_log_line(const std::string& text);

/// @brief Reads the lines of one host in their order.
/// @param take called for each line that can be read
/// @return how many lines could not be read
template <class Take>
std::uint64_t read_log(std::istream& from, Take take) {
    std::uint64_t unreadable = 0;
    for (std::string text; std::getline(from, text);) {
        if (text.empty()) {
            continue;
        }
        if (const auto line = parse_log_line(text)) {
            take(*line);
        } else {
            ++unreadable;
        }
    }
    return unreadable;
}

} // namespace parsleypitch::detail
