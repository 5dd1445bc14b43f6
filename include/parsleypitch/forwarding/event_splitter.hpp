#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/units.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief One complete event of a `text/event-stream`, including the blank line that ends it.
struct stream_event {
    std::optional<stream_event_id> id;
    std::string bytes;
};

/// @brief Largest event of a stream.
inline constexpr byte_count max_event_size{1'048'576};

/// @brief Splits the bytes of a `text/event-stream` into complete events.
class event_splitter {
  public:
    /// @brief Appends bytes of the stream.
    /// @return the events that are now complete
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);
    /// @brief Whether bytes of an incomplete event are buffered.
    [[nodiscard]] bool has_partial_event() const noexcept { return !m_buffer.empty(); }
    /// @brief Bytes of the incomplete event.
    [[nodiscard]] byte_count buffered() const noexcept { return size_in_bytes(m_buffer); }
    /// @brief Whether the incomplete event is larger than any event of a sound server.
    [[nodiscard]] bool partial_event_is_too_large() const noexcept {
        return m_buffer.size() > static_cast<std::size_t>(max_event_size.value());
    }

  private:
    std::string m_buffer;
};

} // namespace parsleypitch
