#include "engine_types.hpp"

#include "hex.hpp"

namespace parsleypitch::standins {

std::string token_text(const std::string& prompt, token_index index) {
    return "t" + to_hex(hash_bytes(prompt, index.value())).substr(0, 8) + " ";
}

std::string_view to_string(sequence_end end) noexcept {
    switch (end) {
    case sequence_end::done:
        return "done";
    case sequence_end::cancelled:
        return "cancelled";
    case sequence_end::cut:
        break;
    }
    return "cut";
}

std::string_view to_string(submit_outcome outcome) noexcept {
    switch (outcome) {
    case submit_outcome::accepted:
        return "accepted";
    case submit_outcome::malformed:
        return "malformed";
    case submit_outcome::wrong_model:
        return "wrong_model";
    case submit_outcome::wrong_role:
        return "wrong_role";
    case submit_outcome::changing:
        return "changing";
    case submit_outcome::too_many_waiting:
        break;
    }
    return "too_many_waiting";
}

} // namespace parsleypitch::standins
