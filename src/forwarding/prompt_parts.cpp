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

std::vector<crash_cause> shared_part_keys(const generation_work& work) {
    const std::uint64_t model = hash_bytes(work.model.str());
    std::vector<crash_cause> keys;
    keys.reserve(shared_parts(work).size());
    for (const prompt_part& part : shared_parts(work)) {
        keys.push_back(part_cause(hash_bytes(part.id.str(), model)));
    }
    return keys;
}

} // namespace parsleypitch
