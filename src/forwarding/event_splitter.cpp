#include <parsleypitch/forwarding/event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace parsleypitch {

namespace detail {

/// Length of the first event in `text`, including the blank line that ends it; 0 if it is incomplete.
std::size_t first_event_length(std::string_view text) {
    const std::size_t lf = text.find("\n\n");
    const std::size_t crlf = text.find("\r\n\r\n");
    const std::size_t end_lf = lf == std::string_view::npos ? lf : lf + 2;
    const std::size_t end_crlf = crlf == std::string_view::npos ? crlf : crlf + 4;
    const std::size_t end = std::min(end_lf, end_crlf);
    return end == std::string_view::npos ? 0 : end;
}

std::optional<stream_event_id> event_id(std::string_view event) {
    while (!event.empty()) {
        const std::size_t newline = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, newline);
        event.remove_prefix(std::min(newline + 1, event.size()));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t value = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), value).ec == std::errc()) {
            return stream_event_id(value);
        }
    }
    return std::nullopt;
}

} // namespace detail

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    m_buffer.append(bytes);
    std::vector<stream_event> events;
    std::string_view remaining = m_buffer;
    while (const std::size_t length = detail::first_event_length(remaining)) {
        const std::string_view event = remaining.substr(0, length);
        events.push_back({detail::event_id(event), std::string(event)});
        remaining.remove_prefix(length);
    }
    m_buffer = std::string(remaining);
    return events;
}

} // namespace parsleypitch
