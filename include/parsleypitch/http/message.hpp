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

/// @brief Header fields in their order; names compare without case.
class header_list {
  public:
    header_list() = default;
    header_list(std::initializer_list<header_field> fields) : m_fields(fields) {}

    void add(std::string name, std::string value) { m_fields.push_back({std::move(name), std::move(value)}); }
    /// @brief Replaces all fields of this name by one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /// @return the value of the first field of this name, or nothing
    [[nodiscard]] const std::string* find(std::string_view name) const;
    [[nodiscard]] std::size_t count(std::string_view name) const;

    [[nodiscard]] auto begin() const { return m_fields.begin(); }
    [[nodiscard]] auto end() const { return m_fields.end(); }

  private:
    std::vector<header_field> m_fields;
};

[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// @brief Removes the fields that concern one connection only (RFC 9110, 7.6.1).
///
/// Fields named by `Connection` are removed too, except those in `kept`: a sender could otherwise have a
/// field dropped on which the receiver relies.
void remove_hop_by_hop(header_list& headers, const std::vector<std::string_view>& kept);

/// @brief A request with its whole body.
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
    /// @brief The body has neither a length nor chunks and ends with the connection.
    bool ends_with_connection = false;
};

struct response {
    response_head head;
    std::string body;
};

/// @brief Usual reason phrase of a status.
[[nodiscard]] std::string_view reason_phrase(unsigned status) noexcept;

/// @brief Serializes a request with `Content-Length`; header fields about framing are replaced.
[[nodiscard]] std::string serialize(const request& message);
/// @brief Serializes a complete response with `Content-Length`.
[[nodiscard]] std::string serialize(const response& message, bool keep_alive);
/// @brief Serializes the head of a response whose body follows in chunks.
[[nodiscard]] std::string serialize_chunked_head(const response_head& head, bool keep_alive);
/// @brief Frames a part of a chunked body; an empty part must not be framed, it would end the body.
[[nodiscard]] std::string frame_chunk(std::string_view part);
/// @brief The chunk that ends a body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @brief Timeout that a `Keep-Alive` field states, if it states one.
[[nodiscard]] std::optional<seconds> keep_alive_timeout(const header_list& headers);

} // namespace parsleypitch::http
