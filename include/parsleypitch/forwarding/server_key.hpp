#pragma once

#include <parsleypitch/core/ids.hpp>

namespace parsleypitch {

/// @brief Key of a backend server in reports: the low 32 bits of the hash of its id.
using server_key = number_id<struct server_key_tag>;

[[nodiscard]] server_key key_of(const backend_server_id& server) noexcept;

} // namespace parsleypitch
