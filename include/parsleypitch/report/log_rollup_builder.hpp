#pragma once

#include <parsleypitch/journal/day_rollup.hpp>

#include <istream>

namespace parsleypitch {

/// @brief Builds the roll-up of a day from the logs of entry hosts on the platform, which do not write a
/// journal.
///
/// A process whose last line is not `stopped` has no final record. Log lines that a host dropped and lines
/// that cannot be parsed count as lost events, so that the report shows that its figures are incomplete.
class log_rollup_builder {
  public:
    log_rollup_builder(environment_name environment, utc_day day);

    /// @brief Reads the log of one host: the output of its successive processes.
    void read(std::istream& lines);
    [[nodiscard]] const day_rollup& rollup() const noexcept { return m_rollup; }

  private:
    day_rollup m_rollup;
};

} // namespace parsleypitch
