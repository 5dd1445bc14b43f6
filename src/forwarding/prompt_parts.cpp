#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>

namespace parsleypitch {

std::string shared_part_names(const generation_work& work) {
    std::string names;
    for (const prompt_part& part : shared_parts(work)) {
        names.append(names.empty() ? "" : ",").append(part.id.str());
    }
    return names;
}

std::vector<prompt_part_key> shared_part_keys(const generation_work& work) {
    const std::uint64_t model = hash_bytes(work.model.str());
    std::vector<prompt_part_key> keys;
    keys.reserve(shared_parts(work).size());
    for (const prompt_part& part : shared_parts(work)) {
        keys.emplace_back(hash_bytes(part.id.str(), model));
    }
    return keys;
}

} // namespace parsleypitch
