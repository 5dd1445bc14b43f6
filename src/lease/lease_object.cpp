#include "lease_codec.hpp"

#include <parsleypitch/lease/lease_object.hpp>

namespace parsleypitch {

object_key lease_key(const availability_zone_id& zone) {
    return object_key("lease/" + zone.str());
}

result<stored_lease> read_lease(const object_store& store, const object_key& key) {
    const auto read = store.get(key);
    if (!read) {
        return read.error().code == errc::object_not_found ? result<stored_lease>(stored_lease{})
                                                           : result<stored_lease>(read.error());
    }
    auto value = detail::decode_lease(read.value().bytes);
    if (!value) {
        return value.error();
    }
    return stored_lease{{store_era(), read.value().version}, std::move(value.value())};
}

} // namespace parsleypitch
