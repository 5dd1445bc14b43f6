#pragma once

#include <parsleypitch/journal/day_rollup.hpp>

#include <istream>

namespace parsleypitch {

/// @brief Builds the roll-up of a day from the log lines of entry hosts on the platform, which keep no
/// journal.
///
/// A process whose last line is not `stopped` left no final record, lines that a host left out and lines that
/// can't be read count as events that were not recorded: the page says so instead of passing over them.
class log_rollup_builder {
  public:
    log_rollup_builder(environment_name environment, utc_day day);

    /// @brief Reads the output of all processes of one host, one after the other.
    void read(std::istream& lines);
    [[nodiscard]] const day_rollup& rollup() const noexcept { return m_rollup; }

  private:
    day_rollup m_rollup;
};

} // namespace parsleypitch
