#pragma once

#include <parsleypitch/claims/claim_log.hpp>

#include <string>

namespace parsleypitch::detail {

/// @brief Encodes a partition's open segment as JSON.
[[nodiscard]] std::string encode_open_segment(const open_segment& segment);
/// @brief Decodes a partition's open segment.
/// @return `malformed_document` if the bytes are not such a segment
[[nodiscard]] result<open_segment> decode_open_segment(const std::string& bytes);

/// @brief Encodes a sealed segment as JSON, with `id` as its only write id.
[[nodiscard]] std::string encode_sealed_segment(const claim_records& records, const write_id& id);
/// @brief Decodes a sealed segment.
/// @return `malformed_document` if the bytes are not such a segment
[[nodiscard]] result<claim_records> decode_sealed_segment(const std::string& bytes);

/// @brief Decodes only the write ids of an open or sealed segment.
/// @return `malformed_document` if the bytes are not such a segment
[[nodiscard]] result<write_history> claim_write_history(const std::string& bytes);

} // namespace parsleypitch::detail
