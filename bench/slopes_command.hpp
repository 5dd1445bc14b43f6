#pragma once

namespace parsleypitch::bench {

/// @brief Measures the slopes of control costs: `slopes [--out FILE.json] [--page FILE.md] [--quick]`.
/// @return the exit code: 1 if a section could not be measured
int command_slopes(int argc, char** argv);

/// @brief Measures the latency that entry host and agent add: `latency [--out FILE.json]`.
/// @return the exit code: 1 if the bound was exceeded
int command_latency(int argc, char** argv);

} // namespace parsleypitch::bench
