#pragma once

#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/platform/object_store.hpp>

namespace parsleypitch {

/// @brief Returns the key of the lease object of an availability zone.
[[nodiscard]] object_key lease_key(const availability_zone_id& zone);

/// @brief Reads a lease object.
/// @return the lease, with version 0 and term 0 if the object does not exist; `malformed_document`; or the
/// error of the store
[[nodiscard]] result<stored_lease> read_lease(const object_store& store, const object_key& key);

} // namespace parsleypitch
