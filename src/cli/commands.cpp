#include "cli/commands.hpp"

namespace parsleypitch::cli {

std::vector<command> all_commands() {
    return {};
}

} // namespace parsleypitch::cli
