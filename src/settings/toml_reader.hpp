#pragma once

#include <parsleypitch/core/result.hpp>

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::detail {

/// @brief One mistake in a TOML document with its position.
struct toml_mistake {
    std::size_t line = 0;
    std::size_t column = 0;
    error what;
};

/// @brief Reads typed values from one TOML table, collects mistakes, and reports keys that nobody asked for.
class toml_reader {
  public:
    /// @param table the table to read
    /// @param path name of the table for error messages, for example `ranks.urgent`
    /// @param mistakes receives every mistake
    toml_reader(const toml::table& table, std::string path, std::vector<toml_mistake>& mistakes);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text_or(std::string_view key, std::string fallback);
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high);
    [[nodiscard]] std::int64_t integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                                          std::int64_t high);
    [[nodiscard]] double number_or(std::string_view key, double fallback, double low, double high);
    /// @brief An `address:port` with an IP number.
    [[nodiscard]] std::string endpoint_text(std::string_view key);
    [[nodiscard]] std::vector<std::string> texts(std::string_view key);
    [[nodiscard]] bool has(std::string_view key) const;
    /// @brief A sub-table; an empty table if it is absent, which is a mistake if `required`.
    [[nodiscard]] toml_reader table(std::string_view key, bool required = true);
    /// @brief The tables of an array of tables; empty if the key is absent.
    [[nodiscard]] std::vector<toml_reader> tables(std::string_view key);

    /// @brief Reports every key of the table that was not read.
    void finish();
    /// @brief Reports a mistake at a key of this table, or at the table itself.
    void report(std::string_view key, errc code, const std::string& detail);

  private:
    [[nodiscard]] const toml::node* find(std::string_view key, bool required);
    [[nodiscard]] std::string name_of(std::string_view key) const;

    const toml::table* m_table;
    std::string m_path;
    std::vector<toml_mistake>* m_mistakes;
    std::set<std::string, std::less<>> m_read;
};

/// @brief Parses the syntax of a TOML document.
/// @param place name of the file for error messages
/// @return `malformed_document` with the position of the first mistake
[[nodiscard]] result<toml::table> parse_toml(std::string_view text, std::string_view place);

/// @brief Whether a text is an IP number and a port, for example `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] bool is_endpoint(const std::string& text);

/// @brief Formats mistakes one a line as `place:line:column: message`.
[[nodiscard]] std::string format_mistakes(std::string_view place, const std::vector<toml_mistake>& mistakes);

} // namespace parsleypitch::detail
