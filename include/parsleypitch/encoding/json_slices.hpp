#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace parsleypitch {

/// @brief A member of a JSON object as written.
struct json_member {
    /// @brief Text between the quotes, with its escapes.
    std::string_view key;
    std::string_view value;
};

/// @brief Splits the text of a JSON object into its members without reading their values.
///
/// Values that no type holds, invalid encodings and deep nesting therefore cost only the value that has them.
/// The slices refer to `text`.
/// @return nothing if the text is not one object
[[nodiscard]] std::optional<std::vector<json_member>> split_json_object(std::string_view text);
/// @brief Splits the text of a JSON array into its elements without reading them.
/// @return nothing if the text is not one array
[[nodiscard]] std::optional<std::vector<std::string_view>> split_json_array(std::string_view text);
/// @brief Returns the value of the first member with a key; empty if there is none.
[[nodiscard]] std::string_view find_json_member(const std::vector<json_member>& members,
                                                std::string_view key);
/// @brief Whether arrays and objects are nested at most `depth` deep.
[[nodiscard]] bool json_depth_is_within(std::string_view text, std::size_t depth);

} // namespace parsleypitch
