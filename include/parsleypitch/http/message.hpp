#pragma once

#include <parsleypitch/core/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch::http {

/// @brief One field of a header section, as received.
struct header_field {
    std::string name;
    std::string value;
};

/// @brief Header fields in the order received; names are compared case-insensitively.
class header_list {
  public:
    header_list() = default;
    header_list(std::initializer_list<header_field> fields) : m_fields(fields) {}

    void add(std::string name, std::string value) { m_fields.push_back({std::move(name), std::move(value)}); }
    /// @brief Replaces all fields of this name with a single one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /// @return the value of the first field of this name, or null
    [[nodiscard]] const std::string* find(std::string_view name) const;
    [[nodiscard]] std::size_t count(std::string_view name) const;

    [[nodiscard]] auto begin() const { return m_fields.begin(); }
    [[nodiscard]] auto end() const { return m_fields.end(); }

  private:
    std::vector<header_field> m_fields;
};

[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// @brief Elements of the comma-separated lists in all fields of a name; empty elements are left out.
[[nodiscard]] std::vector<std::string> list_elements(const header_list& headers, std::string_view name);

/// @brief Removes hop-by-hop header fields (RFC 9110, 7.6.1).
///
/// Fields listed in `Connection` are removed too, except those in `kept`: otherwise a client could make the
/// proxy drop a field that the receiver relies on.
void remove_hop_by_hop(header_list& headers, const std::vector<std::string_view>& kept);

/// @brief A request with its complete body.
struct request {
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    bool keep_alive = true;
};

/// @brief Status line and header section of a response.
struct response_head {
    unsigned status = 0;
    std::string reason;
    header_list headers;
    bool keep_alive = true;
    /// @brief The body has neither `Content-Length` nor chunks and ends when the connection is closed.
    bool ends_with_connection = false;
};

/// @brief A response with its complete body.
struct response {
    response_head head;
    std::string body;
};

/// @brief Standard reason phrase of a status code, or `Unspecified`.
[[nodiscard]] std::string_view reason_phrase(unsigned status) noexcept;

/// @brief Serializes a request; its framing fields are dropped and `Content-Length` is written if needed.
[[nodiscard]] std::string serialize(const request& message);
/// @brief Serializes a complete response with `Content-Length`.
[[nodiscard]] std::string serialize(const response& message, bool keep_alive);
/// @brief Serializes the head of a response with a chunked body.
[[nodiscard]] std::string serialize_chunked_head(const response_head& head, bool keep_alive);
/// @brief Encodes one chunk of a body; `part` must not be empty, because an empty chunk ends the body.
[[nodiscard]] std::string frame_chunk(std::string_view part);
/// @brief The chunk that ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @brief The `timeout` parameter of the `Keep-Alive` field, if present.
[[nodiscard]] std::optional<seconds> keep_alive_timeout(const header_list& headers);

} // namespace parsleypitch::http
