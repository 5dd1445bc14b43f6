#pragma once

#include <parsleypitch/core/ids.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief One whole event of a stream (`text/event-stream`), with the blank line that ends it.
struct stream_event {
    std::optional<stream_event_id> id;
    std::string bytes;
};

/// @brief Cuts the bytes of a stream into whole events.
class event_splitter {
  public:
    /// @brief Takes the next bytes.
    /// @return the events that are complete now
    [[nodiscard]] std::vector<stream_event> feed(std::string_view bytes);
    /// @brief Whether bytes of an incomplete event were taken.
    [[nodiscard]] bool has_partial_event() const noexcept { return !m_rest.empty(); }

  private:
    std::string m_rest;
};

} // namespace parsleypitch
