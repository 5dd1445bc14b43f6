#include "lease_codec.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::detail {

std::string encode_lease(const lease_value& value) {
    nlohmann::json writes = nlohmann::json::array();
    for (const write_id& id : value.writes) {
        writes.push_back(id.str());
    }
    return nlohmann::json{{"fencing_number", value.term.value()},
                          {"holder", value.holder.id.str()},
                          {"incarnation", value.holder.born.value()},
                          {"writes", std::move(writes)}}
        .dump();
}

result<lease_value> decode_lease(const std::string& bytes) {
    try {
        const auto body = nlohmann::json::parse(bytes);
        lease_value value;
        value.term = fencing_number(body.at("fencing_number").get<std::uint64_t>());
        value.holder.id = entry_host_id(body.at("holder").get<std::string>());
        value.holder.born = incarnation(body.at("incarnation").get<std::uint64_t>());
        for (const auto& id : body.at("writes")) {
            value.writes.emplace_back(id.get<std::string>());
        }
        return value;
    } catch (const nlohmann::json::exception& e) {
        return fail(errc::malformed_document, std::string("lease object: ") + e.what());
    }
}

} // namespace parsleypitch::detail
