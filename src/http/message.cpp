#include <parsleypitch/http/message.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace parsleypitch::http {

namespace detail {

constexpr std::array<std::string_view, 9> hop_by_hop_fields = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};

char to_lower(char c) noexcept {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

/// Appends the elements of a comma-separated list; empty ones are left out.
void append_list_elements(std::vector<std::string>& to, std::string_view list) {
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (const std::string_view element = trim(list.substr(0, comma)); !element.empty()) {
            to.emplace_back(element);
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
}

bool is_framing_field(std::string_view name) {
    return equals_ignoring_case(name, "content-length") || equals_ignoring_case(name, "transfer-encoding") ||
           equals_ignoring_case(name, "connection") || equals_ignoring_case(name, "keep-alive");
}

/// Appends all fields except the framing fields.
void append_fields(std::string& out, const header_list& headers) {
    for (const header_field& field : headers) {
        if (!is_framing_field(field.name)) {
            out.append(field.name).append(": ").append(field.value).append("\r\n");
        }
    }
}

std::string status_line(const response_head& head) {
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out.append(head.reason.empty() ? reason_phrase(head.status) : std::string_view(head.reason));
    return out.append("\r\n");
}

} // namespace detail

bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return detail::to_lower(x) == detail::to_lower(y); });
}

void header_list::set(std::string_view name, std::string value) {
    remove(name);
    add(std::string(name), std::move(value));
}

void header_list::remove(std::string_view name) {
    std::erase_if(m_fields,
                  [name](const header_field& field) { return equals_ignoring_case(field.name, name); });
}

const std::string* header_list::find(std::string_view name) const {
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [name](const header_field& field) {
        return equals_ignoring_case(field.name, name);
    });
    return found == m_fields.end() ? nullptr : &found->value;
}

std::size_t header_list::count(std::string_view name) const {
    return static_cast<std::size_t>(
        std::count_if(m_fields.begin(), m_fields.end(),
                      [name](const header_field& field) { return equals_ignoring_case(field.name, name); }));
}

std::vector<std::string> list_elements(const header_list& headers, std::string_view name) {
    std::vector<std::string> elements;
    for (const header_field& field : headers) {
        if (equals_ignoring_case(field.name, name)) {
            detail::append_list_elements(elements, field.value);
        }
    }
    return elements;
}

void remove_hop_by_hop(header_list& headers, const std::vector<std::string_view>& kept) {
    for (const std::string& name : list_elements(headers, "connection")) {
        const bool keep = std::any_of(kept.begin(), kept.end(), [&name](std::string_view kept_name) {
            return equals_ignoring_case(kept_name, name);
        });
        if (!keep) {
            headers.remove(name);
        }
    }
    for (const std::string_view name : detail::hop_by_hop_fields) {
        headers.remove(name);
    }
}

std::string_view reason_phrase(unsigned status) noexcept {
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unspecified";
    }
}

std::string serialize(const request& message) {
    std::string out;
    out.reserve(message.body.size() + 1024);
    out.append(message.method).append(" ").append(message.target).append(" HTTP/1.1\r\n");
    detail::append_fields(out, message.headers);
    const bool states_length = !message.body.empty() || message.headers.find("content-length") != nullptr ||
                               message.headers.find("transfer-encoding") != nullptr ||
                               message.method == "POST" || message.method == "PUT";
    if (states_length) {
        out.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
    }
    return out.append("\r\n").append(message.body);
}

std::string serialize(const response& message, bool keep_alive) {
    std::string out = detail::status_line(message.head);
    detail::append_fields(out, message.head.headers);
    if (message.head.status != 204 && message.head.status != 304) {
        out.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n");
    }
    out.append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
    return out.append(message.body);
}

std::string serialize_chunked_head(const response_head& head, bool keep_alive) {
    std::string out = detail::status_line(head);
    detail::append_fields(out, head.headers);
    out.append("Transfer-Encoding: chunked\r\n");
    return out.append(keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

std::string frame_chunk(std::string_view part) {
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), part.size(), 16).ptr;
    std::string out(digits.data(), end);
    return out.append("\r\n").append(part).append("\r\n");
}

std::optional<seconds> keep_alive_timeout(const header_list& headers) {
    constexpr std::string_view key = "timeout=";
    std::optional<seconds> timeout;
    for (const std::string_view element : list_elements(headers, "keep-alive")) {
        if (element.size() > key.size() && equals_ignoring_case(element.substr(0, key.size()), key)) {
            std::int64_t number = 0;
            const std::string_view digits = element.substr(key.size());
            const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
            if (parsed.ec == std::errc()) {
                timeout = seconds(number);
            }
        }
    }
    return timeout;
}

} // namespace parsleypitch::http
