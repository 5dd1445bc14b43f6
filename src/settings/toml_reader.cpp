#include "settings/toml_reader.hpp"

#include <asio/ip/address.hpp>

#include <charconv>

namespace parsleypitch::detail {

toml_reader::toml_reader(const toml::table& table, std::string path, std::vector<toml_mistake>& mistakes)
    : m_table(&table), m_path(std::move(path)), m_mistakes(&mistakes) {
}

std::string toml_reader::path_of(std::string_view key) const {
    return m_path.empty() ? std::string(key) : m_path + (key.empty() ? "" : "." + std::string(key));
}

void toml_reader::report(std::string_view key, errc code, const std::string& detail) {
    const toml::node* node = key.empty() ? nullptr : m_table->get(key);
    const toml::source_region& region = node != nullptr ? node->source() : m_table->source();
    m_mistakes->push_back({region.begin.line, region.begin.column, fail(code, path_of(key) + ": " + detail)});
}

const toml::node* toml_reader::find(std::string_view key, bool required) {
    m_read_keys.emplace(key);
    const toml::node* node = m_table->get(key);
    if (node == nullptr && required) {
        report(key, errc::missing_key, "this key is required");
    }
    return node;
}

bool toml_reader::has(std::string_view key) const {
    return m_table->get(key) != nullptr;
}

std::string toml_reader::text(std::string_view key) {
    const toml::node* node = find(key, true);
    if (node == nullptr) {
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        report(key, errc::wrong_type, "expected a string");
        return {};
    }
    if (value->empty()) {
        report(key, errc::out_of_range, "expected a non-empty string");
    }
    return *value;
}

std::string toml_reader::text_or(std::string_view key, std::string fallback) {
    return find(key, false) == nullptr ? std::move(fallback) : text(key);
}

bool toml_reader::flag_or(std::string_view key, bool fallback) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        report(key, errc::wrong_type, "expected true or false");
    }
    return value.value_or(fallback);
}

std::int64_t toml_reader::integer(std::string_view key, std::int64_t low, std::int64_t high) {
    const toml::node* node = find(key, true);
    if (node == nullptr) {
        return low;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        report(key, errc::wrong_type, "expected an integer");
        return low;
    }
    if (*value < low || *value > high) {
        report(key, errc::out_of_range,
               "expected " + std::to_string(low) + " to " + std::to_string(high) + ", got " +
                   std::to_string(*value));
        return low;
    }
    return *value;
}

std::int64_t toml_reader::integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                                     std::int64_t high) {
    return find(key, false) == nullptr ? fallback : integer(key, low, high);
}

double toml_reader::number_or(std::string_view key, double fallback, double low, double high) {
    const toml::node* node = find(key, false);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value<double>();
    if (!value || node->is_boolean()) {
        report(key, errc::wrong_type, "expected a number");
        return fallback;
    }
    if (!(*value >= low && *value <= high)) {
        report(key, errc::out_of_range, "expected " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return *value;
}

std::string toml_reader::endpoint_text(std::string_view key) {
    std::string value = text(key);
    if (!value.empty() && !is_endpoint(value)) {
        report(key, errc::out_of_range,
               "expected an IP address and a port such as 10.0.0.1:8080, got " + value);
    }
    return value;
}

std::vector<std::string> toml_reader::texts(std::string_view key) {
    std::vector<std::string> values;
    const toml::node* node = find(key, false);
    if (node == nullptr) {
        return values;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
        report(key, errc::wrong_type, "expected an array of strings");
        return values;
    }
    for (const toml::node& element : *array) {
        if (const auto value = element.value_exact<std::string>()) {
            values.push_back(*value);
        } else {
            report(key, errc::wrong_type, "expected an array of strings");
        }
    }
    return values;
}

toml_reader toml_reader::table(std::string_view key, bool required) {
    static const toml::table empty;
    const toml::node* node = find(key, required);
    if (node != nullptr && !node->is_table()) {
        report(key, errc::wrong_type, "expected a table");
        node = nullptr;
    }
    return {node == nullptr ? empty : *node->as_table(), path_of(key), *m_mistakes};
}

std::vector<toml_reader> toml_reader::tables(std::string_view key) {
    std::vector<toml_reader> readers;
    const toml::node* node = find(key, false);
    if (node == nullptr) {
        return readers;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
        report(key, errc::wrong_type, "expected an array of tables");
        return readers;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const toml::table* element = array->get(i)->as_table();
        if (element == nullptr) {
            report(key, errc::wrong_type, "expected an array of tables");
            continue;
        }
        readers.emplace_back(*element, path_of(key) + "[" + std::to_string(i) + "]", *m_mistakes);
    }
    return readers;
}

void toml_reader::finish() {
    for (const auto& [key, node] : *m_table) {
        if (m_read_keys.find(key.str()) == m_read_keys.end()) {
            report(key.str(), errc::unknown_key, "this key is not known here");
        }
    }
}

result<toml::table> parse_toml(std::string_view text, std::string_view file_name) {
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& failure) {
        const toml::source_position at = failure.source().begin;
        return fail(errc::malformed_document, std::string(file_name) + ":" + std::to_string(at.line) + ":" +
                                                  std::to_string(at.column) + ": " +
                                                  std::string(failure.description()));
    }
}

bool is_endpoint(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::error_code code;
    asio::ip::make_address(host, code);
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return !code && parsed.ec == std::errc() && parsed.ptr == end;
}

std::string format_mistakes(std::string_view file_name, const std::vector<toml_mistake>& mistakes) {
    std::string text;
    for (const toml_mistake& mistake : mistakes) {
        text += (text.empty() ? "" : "\n") + std::string(file_name) + ":" + std::to_string(mistake.line) +
                ":" + std::to_string(mistake.column) + ": " + to_string(mistake.what);
    }
    return text;
}

} // namespace parsleypitch::detail
