#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/core/result.hpp>
#include <parsleypitch/core/units.hpp>

#include <sys/types.h>

#include <string>
#include <vector>

namespace parsleypitch::bench {

/// @brief A child process with its output in files; the destructor ends and reaps it.
class process {
  public:
    /// @brief Starts a child.
    /// @param name name of the child and of its files `<name>.out` and `<name>.log`
    /// @param command path of the binary and its arguments
    /// @param folder folder for the output files
    /// @param environment variables (`NAME=text`) that the child gets besides those of this process
    /// @return `backend_unreachable` with the reason
    [[nodiscard]] static result<process> start(std::string name, std::vector<std::string> command,
                                               const std::string& folder,
                                               std::vector<std::string> environment = {});

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    ~process();

    [[nodiscard]] const std::string& name() const noexcept { return m_name; }
    [[nodiscard]] pid_t id() const noexcept { return m_id; }
    /// @brief Waits for the line `listening on IP:PORT` on the standard output.
    /// @return `backend_unreachable` with the end of the log if the child ended or the time is over
    [[nodiscard]] result<void> wait_ready(milliseconds limit);
    /// @brief Waits for the end of the child.
    /// @return the exit code, 128 + signal number, or `deadline_exceeded`
    [[nodiscard]] result<int> wait_end(milliseconds limit);
    /// @brief Sends a signal if the child has not been reaped.
    void signal(int number) const;
    /// @brief Whether the child still runs; reaps it if not.
    [[nodiscard]] bool running();
    /// @brief Waits until `limit` after SIGTERM, then sends SIGKILL, and reaps the child.
    /// @return whether SIGKILL was needed
    bool stop(milliseconds limit);
    /// @brief The last bytes of the child's output, for messages about failures.
    [[nodiscard]] std::string log_tail() const;

  private:
    process() = default;

    std::string m_name;
    std::string m_folder;
    pid_t m_id = -1;
    bool m_reaped = true;
    int m_exit_code = -1;
};

/// @brief Resources that one process has used, from `/proc/<id>`.
struct process_usage {
    duration processor_time{};
    byte_count resident{0};
};

/// @brief Reads the usage of a process; zero if it has ended.
[[nodiscard]] process_usage read_usage(pid_t id);

/// @brief Bytes received on the loopback interface by all processes of the machine.
[[nodiscard]] byte_count loopback_bytes();

} // namespace parsleypitch::bench
