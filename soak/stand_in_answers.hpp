#pragma once

#include <parsleypitch/http/server.hpp>

#include <memory>
#include <string>

namespace parsleypitch::soak {

using exchange_ptr = std::shared_ptr<http::exchange>;

/// @brief Answers an exchange of a stand-in with a complete response.
inline void answer(const exchange_ptr& to, unsigned status, std::string body,
                   http::header_list headers = {}) {
    http::response made;
    made.head.status = status;
    made.head.headers = std::move(headers);
    made.body = std::move(body);
    to->respond(std::move(made));
}

/// @brief Response of stand-ins to a message that is not valid HTTP.
inline http::response malformed_message_answer(http::parse_error /*why*/) {
    constexpr unsigned status_malformed = 400;
    http::response refused;
    refused.head.status = status_malformed;
    return refused;
}

} // namespace parsleypitch::soak
