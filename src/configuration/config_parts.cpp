#include "configuration/part_codec.hpp"

#include <parsleypitch/configuration/config_parts.hpp>
#include <parsleypitch/core/hash.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

namespace parsleypitch {

namespace detail {

template <class Spec>
void sort_by_id(std::vector<Spec>& list) {
    std::sort(list.begin(), list.end(), [](const Spec& a, const Spec& b) { return a.id < b.id; });
}

/// Maps the name of each part to an environment that holds only the content of that part.
using part_map = std::map<part_name, environment>;

part_map group_by_part(const environment& value) {
    part_map parts;
    environment& common = parts[part_name("environment")];
    common.name = value.name;
    common.ranks = value.ranks;
    for (const auto& zone : value.zones) {
        parts[part_name("zone/" + zone.id.str())].zones.push_back(zone);
    }
    for (const auto& model : value.models) {
        parts[part_name("model/" + model.id.str())].models.push_back(model);
    }
    for (const auto& plain : value.plain_services) {
        parts[part_name("service/" + plain.id.str())].plain_services.push_back(plain);
    }
    for (const auto& server : value.backend_servers) {
        parts[part_name("zone/" + server.zone.str())].backend_servers.push_back(server);
    }
    for (const auto& account : value.accounts) {
        const std::size_t shard = hash_bytes(account.id.str()) % account_shard_count;
        parts[part_name("accounts/" + std::to_string(shard))].accounts.push_back(account);
    }
    return parts;
}

using part_index = std::unordered_map<content_hash, const config_part*>;

part_index index_of_parts(const std::vector<config_part>& parts) {
    part_index index;
    for (const config_part& part : parts) {
        index.emplace(part.hash, &part);
    }
    return index;
}

std::vector<part_reference> references_of(const std::vector<config_part>& parts) {
    std::vector<part_reference> references;
    references.reserve(parts.size());
    for (const config_part& part : parts) {
        references.push_back({part.name, part.hash});
    }
    return references;
}

} // namespace detail

content_hash hash_of(std::string_view bytes) {
    return content_hash(sha256_hex(bytes));
}

environment in_canonical_order(environment value) {
    detail::sort_by_id(value.zones);
    detail::sort_by_id(value.models);
    detail::sort_by_id(value.plain_services);
    detail::sort_by_id(value.accounts);
    std::sort(value.backend_servers.begin(), value.backend_servers.end(),
              [](const backend_server_spec& a, const backend_server_spec& b) {
                  return std::tie(a.zone, a.id) < std::tie(b.zone, b.id);
              });
    return value;
}

std::vector<config_part> split_environment(const environment& value) {
    std::vector<config_part> parts;
    for (const auto& [name, content_of_part] : detail::group_by_part(in_canonical_order(value))) {
        auto content = std::make_shared<const std::string>(
            detail::encode_part(content_of_part, name == part_name("environment")));
        parts.push_back({name, hash_of(*content), content});
    }
    return parts;
}

result<environment> join_parts(const std::vector<config_part>& parts) {
    environment value;
    for (const config_part& part : parts) {
        if (!part.content || hash_of(*part.content) != part.hash) {
            return fail(errc::config_hash_mismatch, "content of part " + part.name.str() +
                                                        " is missing or does not match its hash " +
                                                        part.hash.str());
        }
        if (auto decoded = detail::decode_part(*part.content, value); !decoded) {
            return decoded.error();
        }
    }
    return in_canonical_order(std::move(value));
}

result<environment> parse_accepted(std::string_view bytes) {
    parsed_environment parsed = parse_environment(bytes);
    if (!parsed.mistakes.empty()) {
        const document_mistake& first = parsed.mistakes.front();
        return fail(errc::config_not_accepted,
                    std::to_string(parsed.mistakes.size()) + " mistakes, the first at line " +
                        std::to_string(first.line) + ", column " + std::to_string(first.column) + ": " +
                        to_string(first.what));
    }
    return std::move(parsed.value);
}

result<adopted_config> adopt_document(config_version version, std::string_view bytes) {
    auto parsed = parse_accepted(bytes);
    if (!parsed) {
        return parsed.error();
    }
    adopted_config adopted;
    adopted.value = in_canonical_order(std::move(parsed.value()));
    adopted.parts = split_environment(adopted.value);
    adopted.manifest = {version, hash_of(bytes), detail::references_of(adopted.parts)};
    return adopted;
}

std::vector<content_hash> missing_parts(const config_manifest& manifest, const adopted_config* held) {
    const detail::part_index index =
        held == nullptr ? detail::part_index{} : detail::index_of_parts(held->parts);
    std::vector<content_hash> missing;
    for (const part_reference& part : manifest.parts) {
        if (index.find(part.hash) == index.end()) {
            missing.push_back(part.hash);
        }
    }
    return missing;
}

config_bundle bundle_of(const adopted_config& held, const std::vector<content_hash>& wanted) {
    const detail::part_index index = detail::index_of_parts(held.parts);
    config_bundle bundle{held.manifest, {}};
    for (const content_hash& hash : wanted) {
        if (const auto found = index.find(hash); found != index.end()) {
            bundle.parts.push_back(*found->second);
        }
    }
    return bundle;
}

result<adopted_config> assemble(const config_bundle& bundle, const adopted_config* held) {
    detail::part_index index = detail::index_of_parts(bundle.parts);
    if (held != nullptr) {
        index.merge(detail::index_of_parts(held->parts));
    }
    adopted_config adopted;
    adopted.manifest = bundle.manifest;
    for (const part_reference& part : bundle.manifest.parts) {
        const auto found = index.find(part.hash);
        if (found == index.end()) {
            return fail(errc::config_unavailable, "part " + part.name.str() + " with hash " +
                                                      part.hash.str() +
                                                      " is neither local nor in the bundle");
        }
        adopted.parts.push_back({part.name, part.hash, found->second->content});
    }
    auto joined = join_parts(adopted.parts);
    if (!joined) {
        return joined.error();
    }
    adopted.value = std::move(joined.value());
    return adopted;
}

} // namespace parsleypitch
