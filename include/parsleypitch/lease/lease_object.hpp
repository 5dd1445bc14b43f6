#pragma once

#include <parsleypitch/lease/lease_state.hpp>
#include <parsleypitch/platform/object_store.hpp>

namespace parsleypitch {

/// @brief Key of the lease object of one availability zone.
[[nodiscard]] object_key lease_key(const availability_zone_id& zone);

/// @brief Reads a lease object; one that does not exist has version 0 and term 0.
/// @return `malformed_document`, or the failure of the store
[[nodiscard]] result<stored_lease> read_lease(const object_store& store, const object_key& key);

} // namespace parsleypitch
