#pragma once

#include <parsleypitch/core/result.hpp>
#include <parsleypitch/usage/usage_counts.hpp>
#include <parsleypitch/usage/usage_reporter.hpp>

#include <string>
#include <vector>

namespace parsleypitch {

/// @brief Asks a host for its counts.
struct usage_query {
    usage_origin from;
    /// @brief Last window that is reported; empty if it is not known.
    std::optional<usage_window> reported;
    /// @brief Start of the asked process that gave the position `after`; after a restart it begins anew.
    incarnation asked;
    usage_change after;
};

/// @brief Counts that a host tells another one: the answer to a query, or a copy to be kept.
struct usage_news {
    usage_origin from;
    /// @brief Last change of the sender.
    usage_change last;
    std::vector<usage_count> counts;
};

[[nodiscard]] std::string encode_usage_query(const usage_query& query);
[[nodiscard]] std::string encode_usage_news(const usage_news& news);
[[nodiscard]] std::string encode_usage_record(const usage_record& record);
// Each decoder returns `malformed_document` for anything else than what its encoder writes.
[[nodiscard]] result<usage_query> decode_usage_query(const std::string& body);
[[nodiscard]] result<usage_news> decode_usage_news(const std::string& body);
[[nodiscard]] result<usage_record> decode_usage_record(const std::string& content);

} // namespace parsleypitch
