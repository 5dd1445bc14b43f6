#pragma once

#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/settings/settings.hpp>

namespace parsleypitch::detail {

/// @brief Adds the services of an entry host to the kernel, in the order in which they start.
[[nodiscard]] result<void> add_entry_services(kernel& host, const entry_settings& settings, incarnation born);

} // namespace parsleypitch::detail
