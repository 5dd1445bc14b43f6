#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/forwarding/backend_protocol.hpp>

namespace parsleypitch {

crash_cause identify(const inbound_call& call) {
    const std::string* credentials = call.message.headers.find("authorization");
    std::uint64_t hash = hash_bytes(call.message.method);
    hash = hash_bytes(call.host, hash);
    hash = hash_bytes(call.message.target, hash);
    // A key of an account is never hashed, also while the configuration in force holds no accounts.
    const bool uses_credentials = credentials != nullptr && call.key.empty();
    hash = hash_bytes(uses_credentials ? *credentials : call.caller.str(), hash);
    if (call.work) {
        for (const prompt_part& part : call.work->parts) {
            hash = hash_bytes(part.id.str(), hash);
        }
    }
    return request_cause(hash_bytes(call.message.body, hash));
}

} // namespace parsleypitch
