#include "configuration/head_codec.hpp"

#include <nlohmann/json.hpp>

namespace parsleypitch::detail {

using nlohmann::json;

std::string encode_head(const std::vector<config_entry>& entries) {
    json list = json::array();
    for (const config_entry& entry : entries) {
        list.push_back({{"version", entry.version.value()},
                        {"hash", entry.hash.str()},
                        {"size", entry.size.value()},
                        {"write_id", entry.writer.str()},
                        {"promoted_from", entry.promoted_from.str()}});
    }
    return json{{"entries", list}}.dump();
}

result<std::vector<config_entry>> decode_head(const std::string& bytes) {
    std::vector<config_entry> entries;
    try {
        const json head = json::parse(bytes);
        for (const json& item : head.at("entries")) {
            entries.push_back({config_version(item.at("version").get<std::uint64_t>()),
                               content_hash(item.at("hash").get<std::string>()),
                               byte_count(item.at("size").get<std::int64_t>()),
                               write_id(item.at("write_id").get<std::string>()),
                               environment_name(item.at("promoted_from").get<std::string>())});
        }
    } catch (const json::exception& failure) {
        return fail(errc::platform_protocol,
                    std::string("configuration head object can't be decoded: ") + failure.what());
    }
    return entries;
}

} // namespace parsleypitch::detail
