#include <parsleypitch/encoding/json_slices.hpp>

#include <algorithm>

namespace parsleypitch {

namespace {

constexpr std::string_view white_space = " \t\r\n";

/// Reads the structure of JSON text from left to right. After a mistake in it every method fails.
class json_scanner {
  public:
    explicit json_scanner(std::string_view text) : m_text(text) {}

    /// Skips white space and one character.
    /// @return false if another character follows
    bool take(char expected) {
        skip_white_space();
        if (m_at >= m_text.size() || m_text[m_at] != expected) {
            return false;
        }
        ++m_at;
        return true;
    }
    [[nodiscard]] bool at_end() {
        skip_white_space();
        return m_at == m_text.size();
    }
    /// Reads a string.
    /// @return its text with the quotes, empty if there is none
    std::string_view string() {
        skip_white_space();
        const std::size_t begin = m_at;
        if (m_at >= m_text.size() || m_text[m_at] != '"') {
            return {};
        }
        for (++m_at; m_at < m_text.size(); ++m_at) {
            if (m_text[m_at] == '\\') {
                ++m_at;
            } else if (m_text[m_at] == '"') {
                ++m_at;
                return m_text.substr(begin, m_at - begin);
            }
        }
        return {};
    }
    /// Reads a value of any kind.
    /// @return its text, empty if there is none
    std::string_view value() {
        skip_white_space();
        if (m_at >= m_text.size()) {
            return {};
        }
        switch (m_text[m_at]) {
        case '"':
            return string();
        case '{':
        case '[':
            return nested();
        default:
            return scalar();
        }
    }

  private:
    void skip_white_space() { m_at = std::min(m_text.find_first_not_of(white_space, m_at), m_text.size()); }

    std::string_view nested() {
        const std::size_t begin = m_at;
        std::size_t depth = 0;
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"') {
                if (string().empty()) {
                    return {};
                }
                continue;
            }
            ++m_at;
            depth += c == '{' || c == '[' ? 1 : 0;
            depth -= c == '}' || c == ']' ? 1 : 0;
            if (depth == 0) {
                return m_text.substr(begin, m_at - begin);
            }
        }
        return {};
    }
    std::string_view scalar() {
        const std::size_t begin = m_at;
        m_at = std::min(m_text.find_first_of(",]}: \t\r\n", m_at), m_text.size());
        return m_text.substr(begin, m_at - begin);
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

} // namespace

std::optional<std::vector<json_member>> split_json_object(std::string_view text) {
    json_scanner scanner(text);
    std::vector<json_member> members;
    if (!scanner.take('{')) {
        return std::nullopt;
    }
    if (scanner.take('}')) {
        return scanner.at_end() ? std::optional(members) : std::nullopt;
    }
    do {
        const std::string_view key = scanner.string();
        if (key.empty() || !scanner.take(':')) {
            return std::nullopt;
        }
        const std::string_view value = scanner.value();
        if (value.empty()) {
            return std::nullopt;
        }
        members.push_back({key.substr(1, key.size() - 2), value});
    } while (scanner.take(','));
    const bool whole = scanner.take('}') && scanner.at_end();
    return whole ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text) {
    json_scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.take('[')) {
        return std::nullopt;
    }
    if (scanner.take(']')) {
        return scanner.at_end() ? std::optional(elements) : std::nullopt;
    }
    do {
        const std::string_view value = scanner.value();
        if (value.empty()) {
            return std::nullopt;
        }
        elements.push_back(value);
    } while (scanner.take(','));
    const bool whole = scanner.take(']') && scanner.at_end();
    return whole ? std::optional(std::move(elements)) : std::nullopt;
}

std::string_view find_json_member(const std::vector<json_member>& members, std::string_view key) {
    const auto found = std::find_if(members.begin(), members.end(),
                                    [key](const json_member& member) { return member.key == key; });
    return found == members.end() ? std::string_view() : found->value;
}

bool json_depth_is_within(std::string_view text, std::size_t depth) {
    std::size_t open = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char c = text[at];
        if (in_string) {
            at += c == '\\' ? 1 : 0;
            in_string = c != '"';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{' || c == '[') {
            if (++open > depth) {
                return false;
            }
        } else if ((c == '}' || c == ']') && open > 0) {
            --open;
        }
    }
    return true;
}

} // namespace parsleypitch
