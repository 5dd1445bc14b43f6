#include "cli/commands.hpp"

#include "cli/config_command.hpp"

namespace parsleypitch::cli {

std::vector<command> all_commands() {
    return {config_command(default_config_hooks())};
}

} // namespace parsleypitch::cli
