#pragma once

#include <parsleypitch/core/ids.hpp>

#include <compare>

namespace parsleypitch {

/// @brief Revision of the store within one era.
///
/// A store that is restored from a copy begins a new era. It has lost what was written after the copy was
/// made, and it gives out the revisions of these changes again. Revisions of different eras are therefore
/// ordered by their eras.
struct store_revision {
    /// @brief 0 if the store states no era.
    store_era era;
    /// @brief 0 if the object does not exist.
    object_version number;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

} // namespace parsleypitch
