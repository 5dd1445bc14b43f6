#include "process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

namespace parsleypitch::bench {

namespace {

constexpr milliseconds poll_interval{10};
constexpr milliseconds stop_limit{5000};
constexpr std::streamoff tail_bytes = 600;

/// Owns the attributes of one `posix_spawn` call.
class spawn_plan {
  public:
    explicit spawn_plan(const std::string& output_prefix) {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawnattr_init(&m_attributes);
        constexpr mode_t mode = 0644;
        const std::string out = output_prefix + ".out";
        const std::string log = output_prefix + ".log";
        const int flags = O_WRONLY | O_CREAT | O_APPEND;
        posix_spawn_file_actions_addopen(&m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, out.c_str(), flags, mode);
        posix_spawn_file_actions_addopen(&m_actions, STDERR_FILENO, log.c_str(), flags, mode);
        // A connection does not end while a child holds its descriptor.
        posix_spawn_file_actions_addclosefrom_np(&m_actions, STDERR_FILENO + 1);
        // The bench blocks SIGINT and SIGTERM in its threads; a child must not inherit that mask.
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&m_attributes, &none);
        posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGMASK);
    }
    ~spawn_plan() {
        posix_spawn_file_actions_destroy(&m_actions);
        posix_spawnattr_destroy(&m_attributes);
    }
    spawn_plan(const spawn_plan&) = delete;
    spawn_plan& operator=(const spawn_plan&) = delete;
    spawn_plan(spawn_plan&&) = delete;
    spawn_plan& operator=(spawn_plan&&) = delete;

    int spawn(pid_t& id, std::vector<std::string>& command, std::vector<std::string>& environment) {
        std::vector<char*> arguments;
        append(command, arguments);
        arguments.push_back(nullptr);
        // getenv returns the first entry of a name, so added variables override inherited ones.
        std::vector<char*> variables;
        append(environment, variables);
        for (char** inherited = environ; *inherited != nullptr; ++inherited) {
            variables.push_back(*inherited);
        }
        variables.push_back(nullptr);
        return posix_spawn(&id, arguments.front(), &m_actions, &m_attributes, arguments.data(),
                           variables.data());
    }

  private:
    static void append(std::vector<std::string>& texts, std::vector<char*>& to) {
        for (std::string& text : texts) {
            to.push_back(text.data());
        }
    }

    posix_spawn_file_actions_t m_actions{};
    posix_spawnattr_t m_attributes{};
};

std::string read_tail(const std::string& path) {
    std::ifstream file(path, std::ios::binary | std::ios::ate);
    if (!file) {
        return {};
    }
    const std::streamoff size = file.tellg();
    file.seekg(size > tail_bytes ? size - tail_bytes : 0);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

bool has_ready_line(const std::string& path) {
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("listening on ", 0) == 0) {
            return true;
        }
    }
    return false;
}

} // namespace

result<process> process::start(std::string name, std::vector<std::string> command, const std::string& folder,
                               std::vector<std::string> environment) {
    process started;
    started.m_name = std::move(name);
    started.m_folder = folder;
    const int code = spawn_plan(folder + "/" + started.m_name).spawn(started.m_id, command, environment);
    if (code != 0) {
        return fail(errc::backend_unreachable,
                    "process " + started.m_name + " (" + command.front() + "): " + std::strerror(code));
    }
    started.m_reaped = false;
    return started;
}

process::process(process&& other) noexcept
    : m_name(std::move(other.m_name)), m_folder(std::move(other.m_folder)), m_id(other.m_id),
      m_reaped(std::exchange(other.m_reaped, true)), m_exit_code(other.m_exit_code) {
}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        if (!m_reaped) {
            stop(stop_limit);
        }
        m_name = std::move(other.m_name);
        m_folder = std::move(other.m_folder);
        m_id = other.m_id;
        m_reaped = std::exchange(other.m_reaped, true);
        m_exit_code = other.m_exit_code;
    }
    return *this;
}

process::~process() {
    if (!m_reaped) {
        signal(SIGTERM);
        stop(stop_limit);
    }
}

void process::signal(int number) const {
    if (!m_reaped) {
        ::kill(m_id, number);
    }
}

bool process::running() {
    if (m_reaped) {
        return false;
    }
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) != m_id) {
        return true;
    }
    constexpr int signal_base = 128;
    m_reaped = true;
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
    return false;
}

result<void> process::wait_ready(milliseconds limit) {
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (!has_ready_line(m_folder + "/" + m_name + ".out")) {
        if (!running()) {
            return fail(errc::backend_unreachable, m_name + " ended with code " +
                                                       std::to_string(m_exit_code) +
                                                       " before it was ready: " + log_tail());
        }
        if (std::chrono::steady_clock::now() >= end) {
            return fail(errc::backend_unreachable, m_name + " printed no line \"listening on\" within " +
                                                       std::to_string(limit.count()) + " ms: " + log_tail());
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return success();
}

result<int> process::wait_end(milliseconds limit) {
    const time_point end = std::chrono::steady_clock::now() + limit;
    while (running()) {
        if (std::chrono::steady_clock::now() >= end) {
            return fail(errc::deadline_exceeded,
                        m_name + " did not end within " + std::to_string(limit.count()) + " ms");
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return m_exit_code;
}

bool process::stop(milliseconds limit) {
    if (m_reaped || wait_end(limit)) {
        return false;
    }
    signal(SIGKILL);
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_reaped = true;
    m_exit_code = -1;
    return true;
}

std::string process::log_tail() const {
    return read_tail(m_folder + "/" + m_name + ".out") + read_tail(m_folder + "/" + m_name + ".log");
}

process_usage read_usage(pid_t id) {
    process_usage usage;
    std::ifstream stat_file("/proc/" + std::to_string(id) + "/stat");
    std::string content((std::istreambuf_iterator<char>(stat_file)), std::istreambuf_iterator<char>());
    const std::size_t name_end = content.rfind(')');
    if (name_end == std::string::npos) {
        return usage;
    }
    // In proc(5), the first field after the name is 3; utime is 14, stime 15 and rss (in pages) 24.
    constexpr int user_time = 14;
    constexpr int system_time = 15;
    constexpr int resident_pages = 24;
    std::istringstream fields(content.substr(name_end + 1));
    std::int64_t ticks = 0;
    std::string field;
    for (int number = 3; fields >> field; ++number) {
        if (number == user_time || number == system_time) {
            ticks += std::stoll(field);
        } else if (number == resident_pages) {
            usage.resident = byte_count(std::stoll(field) * ::sysconf(_SC_PAGESIZE));
        }
    }
    usage.processor_time =
        from_seconds(static_cast<double>(ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK)));
    return usage;
}

byte_count loopback_bytes() {
    std::ifstream devices("/proc/net/dev");
    for (std::string line; std::getline(devices, line);) {
        const std::size_t name = line.find("lo:");
        if (name != std::string::npos) {
            return byte_count(std::stoll(line.substr(name + 3)));
        }
    }
    return byte_count(0);
}

} // namespace parsleypitch::bench
