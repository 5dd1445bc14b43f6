#pragma once

#include <parsleypitch/core/result.hpp>

#include <toml++/toml.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::detail {

/// @brief One mistake in a TOML document. Line and column count from 1; they are 0 if the table is missing.
struct toml_mistake {
    std::size_t line = 0;
    std::size_t column = 0;
    error what;
};

/// @brief Reads typed values from one TOML table and collects mistakes, such as missing keys, wrong types and
/// keys that are not known.
///
/// A function that reports a mistake returns a default and reading goes on, so that one pass finds all
/// mistakes.
class toml_reader {
  public:
    /// @param table the table to read
    /// @param path name of the table for error messages, for example `ranks.urgent`
    /// @param mistakes list to which mistakes are appended; it must outlive the reader
    toml_reader(const toml::table& table, std::string path, std::vector<toml_mistake>& mistakes);

    /// @brief Reads a required string, which must not be empty.
    [[nodiscard]] std::string text(std::string_view key);
    /// @brief Reads an optional string; if the key is present, the string must not be empty.
    [[nodiscard]] std::string text_or(std::string_view key, std::string fallback);
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
    /// @brief Reads a required integer from `low` to `high`, both included.
    [[nodiscard]] std::int64_t integer(std::string_view key, std::int64_t low, std::int64_t high);
    [[nodiscard]] std::int64_t integer_or(std::string_view key, std::int64_t fallback, std::int64_t low,
                                          std::int64_t high);
    [[nodiscard]] double number_or(std::string_view key, double fallback, double low, double high);
    /// @brief Reads a required `address:port` with an IP address.
    [[nodiscard]] std::string endpoint_text(std::string_view key);
    /// @brief Reads an optional array of strings.
    [[nodiscard]] std::vector<std::string> texts(std::string_view key);
    [[nodiscard]] bool has(std::string_view key) const;
    /// @brief Returns a reader of a sub-table. An absent one reads as an empty table and is a mistake if
    /// `required`.
    [[nodiscard]] toml_reader table(std::string_view key, bool required = true);
    /// @brief Returns a reader for each table of an optional array of tables.
    [[nodiscard]] std::vector<toml_reader> tables(std::string_view key);

    /// @brief Reports every key of the table that was not read as unknown.
    void finish();
    /// @brief Reports a mistake at a key of this table, or at the table itself if `key` is empty.
    void report(std::string_view key, errc code, const std::string& detail);

  private:
    [[nodiscard]] const toml::node* find(std::string_view key, bool required);
    [[nodiscard]] std::string path_of(std::string_view key) const;

    const toml::table* m_table;
    std::string m_path;
    std::vector<toml_mistake>* m_mistakes;
    /// Keys that were read or looked for.
    std::set<std::string, std::less<>> m_read_keys;
};

/// @brief Parses a TOML document.
/// @param file_name used in error messages
/// @return the table, or `malformed_document` with the position of the syntax error
[[nodiscard]] result<toml::table> parse_toml(std::string_view text, std::string_view file_name);

/// @brief Whether a text is an IP address and a port, for example `127.0.0.1:80` or `[::1]:80`.
[[nodiscard]] bool is_endpoint(const std::string& text);

/// @brief Formats mistakes as lines of the form `file_name:line:column: message`.
[[nodiscard]] std::string format_mistakes(std::string_view file_name,
                                          const std::vector<toml_mistake>& mistakes);

} // namespace parsleypitch::detail
