#pragma once

#include <parsleypitch/core/error.hpp>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <utility>

namespace parsleypitch {

/// @brief A value or a typed failure. `value()` on a failure throws `std::system_error`.
template <class T>
using result = boost::outcome_v2::result<T, error>;

/// @brief Success without a value.
[[nodiscard]] inline auto success() noexcept {
    return boost::outcome_v2::success();
}

/// @brief Builds the failure side of a `result`.
/// @param code number of the failure
/// @param detail the place and what was expected there
[[nodiscard]] inline error fail(errc code, std::string detail) {
    return error{make_error_code(code), std::move(detail)};
}

} // namespace parsleypitch
