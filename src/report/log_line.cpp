#include "report/log_line.hpp"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace parsleypitch::detail {

namespace {

/// Parses `YYYY-MM-DDTHH:MM:SS.mmm` in UTC.
std::optional<wall_time> parse_time(const std::string& text) {
    std::tm parts{};
    char dot = 0;
    int thousandths = 0;
    std::istringstream from(text);
    from >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> dot >> thousandths;
    if (from.fail() || dot != '.') {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(::timegm(&parts)) + milliseconds(thousandths);
}

} // namespace

std::string log_line::text(const char* key) const {
    const auto found = fields.find(key);
    if (found == fields.end()) {
        return {};
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

double log_line::number(const char* key) const {
    const auto found = fields.find(key);
    return found != fields.end() && found->is_number() ? found->get<double>() : 0;
}

std::optional<log_line> parse_log_line(const std::string& text) {
    log_line line;
    line.fields = nlohmann::json::parse(text, nullptr, false);
    if (!line.fields.is_object()) {
        return std::nullopt;
    }
    const auto at = parse_time(line.text("time"));
    line.event = line.text("event");
    if (!at || line.event.empty()) {
        return std::nullopt;
    }
    line.at = *at;
    return line;
}

} // namespace parsleypitch::detail
