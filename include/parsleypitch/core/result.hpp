#pragma once

#include <parsleypitch/core/error.hpp>

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <utility>

namespace parsleypitch {

/// @brief A value or an `error`. `value()` throws `std::system_error` if there is no value.
template <class T>
using result = boost::outcome_v2::result<T, error>;

/// @brief The successful `result<void>`.
[[nodiscard]] inline auto success() noexcept {
    return boost::outcome_v2::success();
}

/// @brief Creates the `error` that a function returns as its failed `result`.
/// @param detail where the error occurred and what was expected there
[[nodiscard]] inline error fail(errc code, std::string detail) {
    return error{make_error_code(code), std::move(detail)};
}

} // namespace parsleypitch
