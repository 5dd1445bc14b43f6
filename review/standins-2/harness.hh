// Stand-ins of the platform's store, of plain services and of clients, for the cases of the second review.
//
// Blocking sockets and one thread a connection; everything listens on loopback addresses. The program under
// test is started as separate processes, by the command of the deploy file.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using clock = std::chrono::steady_clock;

// ---- time and record ---------------------------------------------------------------------------------

inline clock::time_point& epoch() {
    static clock::time_point start = clock::now();
    return start;
}
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - epoch()).count();
}
inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleep_until_ms(std::int64_t at) {
    std::this_thread::sleep_until(epoch() + std::chrono::milliseconds(at));
}

/// Writes each line with its time to record.txt of the case, and to standard output if it is a summary.
class record {
  public:
    explicit record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) {}
    ~record() {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        va_list arguments;
        va_start(arguments, format);
        write(format, arguments, false);
        va_end(arguments);
    }
    void summary(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        va_list arguments;
        va_start(arguments, format);
        write(format, arguments, true);
        va_end(arguments);
    }

  private:
    void write(const char* format, va_list arguments, bool show) {
        char text[2048];
        std::vsnprintf(text, sizeof(text), format, arguments);
        const std::lock_guard lock(m_mutex);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8lld ms  %s\n", static_cast<long long>(now_ms()), text);
            std::fflush(m_file);
        }
        if (show) {
            std::printf("%s\n", text);
            std::fflush(stdout);
        }
    }
    std::mutex m_mutex;
    std::FILE* m_file;
};

// ---- sockets and HTTP --------------------------------------------------------------------------------

struct address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string str() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& at) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(at.port));
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

/// Asks the kernel for a port of a loopback address that nobody uses.
inline int free_port(const std::string& ip) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at = to_sockaddr({ip, 0});
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
        std::perror("bind");
        std::exit(2);
    }
    socklen_t size = sizeof(at);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    ::close(fd);
    return ntohs(at.sin_port);
}

struct message {
    std::string method; // or status text of an answer
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;
    bool chunked = false;

    [[nodiscard]] std::string header(std::string name) const {
        const auto lower = [](std::string text) {
            std::transform(text.begin(), text.end(), text.begin(), ::tolower);
            return text;
        };
        name = lower(name);
        for (const auto& [key, value] : headers) {
            if (lower(key) == name) {
                return value;
            }
        }
        return "";
    }
};

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

/// Reads bytes of one connection; `read_some` may be throttled by a client that reads slowly.
class reader {
  public:
    explicit reader(int fd) : m_fd(fd) {}
    std::size_t chunk = 65536;
    std::int64_t pause_ms = 0;
    std::size_t total = 0;
    int last_errno = 0;

    bool fill() {
        if (pause_ms > 0) {
            sleep_ms(pause_ms);
        }
        std::string piece(chunk, '\0');
        const ssize_t n = ::recv(m_fd, piece.data(), piece.size(), 0);
        if (n <= 0) {
            last_errno = n < 0 ? errno : 0;
            return false;
        }
        total += static_cast<std::size_t>(n);
        buffer.append(piece.data(), static_cast<std::size_t>(n));
        return true;
    }
    std::string buffer;

  private:
    int m_fd;
};

/// Reads one message; `complete` says whether it is whole.
inline message read_message(reader& in, bool is_answer) {
    message out;
    std::size_t end = 0;
    while ((end = in.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!in.fill()) {
            return out;
        }
    }
    const std::string head = in.buffer.substr(0, end + 2);
    in.buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const std::size_t space = first.find(' ');
    const std::size_t space2 = first.find(' ', space + 1);
    if (is_answer) {
        out.status = std::atoi(first.c_str() + space + 1);
    } else {
        out.method = first.substr(0, space);
        out.target = first.substr(space + 1, space2 - space - 1);
    }
    at += 2;
    while (at < head.size()) {
        const std::size_t stop = head.find("\r\n", at);
        const std::string line = head.substr(at, stop - at);
        at = stop + 2;
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size()
                                                                         : value.find_first_not_of(' '));
        out.headers.emplace_back(line.substr(0, colon), value);
    }
    if (out.header("transfer-encoding") == "chunked") {
        out.chunked = true;
        while (true) {
            std::size_t line_end = 0;
            while ((line_end = in.buffer.find("\r\n")) == std::string::npos) {
                if (!in.fill()) {
                    return out;
                }
            }
            const std::size_t size = std::strtoul(in.buffer.c_str(), nullptr, 16);
            while (in.buffer.size() < line_end + 2 + size + 2) {
                if (!in.fill()) {
                    return out;
                }
            }
            out.body.append(in.buffer, line_end + 2, size);
            in.buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                out.complete = true;
                return out;
            }
        }
    }
    const std::string length = out.header("content-length");
    const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (in.buffer.size() < size) {
        if (!in.fill()) {
            out.body = in.buffer;
            return out;
        }
    }
    out.body = in.buffer.substr(0, size);
    in.buffer.erase(0, size);
    out.complete = true;
    return out;
}

inline std::string answer_bytes(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                                const std::string& body) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Answer") + "\r\n";
    for (const auto& [name, value] : headers) {
        out += name + ": " + value + "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return out + body;
}

/// Listens and gives each connection to a thread of its own.
class listener {
  public:
    listener(address at, std::function<void(int)> handler)
        : m_at(std::move(at)), m_handler(std::move(handler)) {
        m_fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int one = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in name = to_sockaddr(m_at);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 || ::listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        m_thread = std::thread([this] { run(); });
    }
    ~listener() { stop(); }
    void stop() {
        if (!m_stopped.exchange(true)) {
            ::shutdown(m_fd, SHUT_RDWR);
            m_thread.join();
            ::close(m_fd);
        }
    }
    [[nodiscard]] const address& at() const { return m_at; }

  private:
    void run() {
        while (!m_stopped) {
            const int fd = ::accept(m_fd, nullptr, nullptr);
            if (fd < 0) {
                if (m_stopped) {
                    return;
                }
                continue;
            }
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([handler = m_handler, fd] {
                handler(fd);
                ::close(fd);
            }).detach();
        }
    }
    address m_at;
    std::function<void(int)> m_handler;
    int m_fd = -1;
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

inline int connect_to(const address& to, int timeout_ms = 1000, const std::function<void(int)>& before = {}) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (before) {
        before(fd);
    }
    const int flags = ::fcntl(fd, F_GETFL);
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    sockaddr_in name = to_sockaddr(to);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    pollfd waiting{fd, POLLOUT, 0};
    int failure = 0;
    socklen_t size = sizeof(failure);
    if (::poll(&waiting, 1, timeout_ms) <= 0 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, flags);
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline void set_receive_timeout(int fd, std::int64_t ms) {
    timeval wait{};
    wait.tv_sec = ms / 1000;
    wait.tv_usec = (ms % 1000) * 1000;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
}

// ---- the platform's store ----------------------------------------------------------------------------

/// Objects by kind and name, lists, watches and conditional writes, as PROTOCOL.md describes them.
class store {
  public:
    explicit store(address at) : m_listener(std::move(at), [this](int fd) { serve(fd); }) {}
    ~store() { stop(); }
    void stop() {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }
    [[nodiscard]] const address& at() const { return m_listener.at(); }

    /// Writes an object as the operator or an engine does.
    void put(const std::string& kind, const std::string& name, const json& spec) {
        const std::lock_guard lock(m_mutex);
        change(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name) {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }
    /// Keeps a copy for a later drill.
    void make_copy() {
        const std::lock_guard lock(m_mutex);
        m_copy = {m_objects, m_history, m_revision};
    }
    /// The store goes away: its connections are closed, and new ones too.
    void go_away() {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        for (const int fd : m_connections) {
            ::shutdown(fd, SHUT_RDWR);
        }
        m_changed.notify_all();
    }
    /// The store comes back from the copy. What the operator wrote since is written again at once; what the
    /// engines wrote is theirs to write again.
    void come_back() {
        const std::lock_guard lock(m_mutex);
        const json configuration = m_objects["config"]["main"].spec;
        m_objects = m_copy.objects;
        m_history = m_copy.history;
        m_revision = m_copy.revision;
        ++m_era;
        change("config", "main", configuration);
        m_away = false;
    }

  private:
    struct object {
        json spec;
        std::uint64_t revision = 0;
    };
    struct event {
        std::uint64_t revision;
        std::string kind;
        json body;
    };

    static json encode(const std::string& name, const object& what) {
        return {{"metadata",
                 {{"name", name},
                  {"revision", what.revision},
                  {"created", 1},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", what.spec},
                {"status", nullptr}};
    }
    void change(const std::string& kind, const std::string& name, const json& spec) {
        object& known = m_objects[kind][name];
        if (known.revision != 0 && known.spec == spec) {
            return;
        }
        known = {spec, ++m_revision};
        m_history.push_back({m_revision, kind, {{"deleted", false}, {"object", encode(name, known)}}});
        m_changed.notify_all();
    }
    void erase(const std::string& kind, const std::string& name) {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end()) {
            return;
        }
        object last = found->second;
        m_objects[kind].erase(found);
        last.revision = ++m_revision;
        m_history.push_back({m_revision, kind, {{"deleted", true}, {"object", encode(name, last)}}});
        m_changed.notify_all();
    }
    json events_after(const std::string& kind, std::uint64_t after) const {
        json events = json::array();
        for (const event& each : m_history) {
            if (each.kind == kind && each.revision > after) {
                events.push_back(each.body);
            }
        }
        return events;
    }

    void serve(int fd) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_away) {
                return;
            }
            m_connections.insert(fd);
        }
        answer_calls(fd);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
    }

    void answer_calls(int fd) {
        reader in(fd);
        while (true) {
            const message call = read_message(in, false);
            if (!call.complete) {
                return;
            }
            std::uint64_t era = 0;
            {
                const std::lock_guard lock(m_mutex);
                era = m_era;
            }
            const auto [status, body] = handle(call);
            {
                const std::lock_guard lock(m_mutex);
                if (m_away || era != m_era) {
                    return;
                }
            }
            if (!send_all(fd, answer_bytes(
                                  status,
                                  {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}},
                                  body.dump()))) {
                return;
            }
        }
    }

    std::pair<int, json> handle(const message& call) {
        const std::size_t question = call.target.find('?');
        const std::string path = call.target.substr(0, question);
        std::map<std::string, std::string> query;
        std::string rest = question == std::string::npos ? "" : call.target.substr(question + 1);
        while (!rest.empty()) {
            const std::string pair = rest.substr(0, rest.find('&'));
            rest = rest.find('&') == std::string::npos ? "" : rest.substr(rest.find('&') + 1);
            query[pair.substr(0, pair.find('='))] =
                pair.find('=') == std::string::npos ? "" : pair.substr(pair.find('=') + 1);
        }
        const std::string prefix = "/objects/";
        if (path.rfind(prefix, 0) != 0) {
            return {404, json::object()};
        }
        const std::string tail = path.substr(prefix.size());
        const std::string kind = tail.substr(0, tail.find('/'));
        const std::string name = tail.find('/') == std::string::npos ? "" : tail.substr(tail.find('/') + 1);
        std::unique_lock lock(m_mutex);
        if (call.method == "GET" && name.empty() && query.contains("watch")) {
            const std::uint64_t after = std::stoull(query["watch"]);
            const auto until =
                clock::now() +
                std::chrono::milliseconds(std::stoull(query.contains("wait_ms") ? query["wait_ms"] : "0"));
            if (after > m_revision) {
                return {410, json::object()};
            }
            const std::uint64_t era = m_era;
            json events = events_after(kind, after);
            while (events.empty() && !m_stopped && !m_away && era == m_era &&
                   m_changed.wait_until(lock, until) != std::cv_status::timeout) {
                events = events_after(kind, after);
            }
            return {200, {{"events", events_after(kind, after)}, {"as_of", m_revision}}};
        }
        if (call.method == "GET" && name.empty()) {
            json items = json::array();
            for (const auto& [each, what] : m_objects[kind]) {
                if (!query.contains("after") || each > query["after"]) {
                    items.push_back(encode(each, what));
                }
            }
            return {200, {{"items", items}, {"has_more", false}, {"as_of", m_revision}}};
        }
        auto& objects = m_objects[kind];
        if (call.method == "GET") {
            const auto found = objects.find(name);
            return found == objects.end() ? std::pair<int, json>{404, json::object()}
                                          : std::pair<int, json>{200, encode(name, found->second)};
        }
        if (call.method == "DELETE") {
            const auto found = objects.find(name);
            if (found == objects.end()) {
                return {404, json::object()};
            }
            if (query.contains("revision") && std::stoull(query["revision"]) != found->second.revision) {
                return {409, encode(name, found->second)};
            }
            const json gone = encode(name, found->second);
            erase(kind, name);
            return {200, gone};
        }
        const json sent = json::parse(call.body, nullptr, false);
        if (!sent.is_object() || !sent.contains("metadata")) {
            return {400, json::object()};
        }
        const std::string target = call.method == "POST" ? sent["metadata"].value("name", "") : name;
        const auto found = objects.find(target);
        if (call.method == "POST" && found != objects.end()) {
            return {409, encode(target, found->second)};
        }
        if (call.method == "PUT" && found == objects.end()) {
            return {404, json::object()};
        }
        if (sent["metadata"].contains("revision") && found != objects.end() &&
            sent["metadata"]["revision"].get<std::uint64_t>() != found->second.revision) {
            return {409, encode(target, found->second)};
        }
        change(kind, target, sent.value("spec", json::object()));
        return {call.method == "POST" ? 201 : 200, encode(target, objects[target])};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<event> m_history;
    std::uint64_t m_revision = 1;
    struct copy_of_all {
        std::map<std::string, std::map<std::string, object>> objects;
        std::vector<event> history;
        std::uint64_t revision = 1;
    };
    copy_of_all m_copy;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::set<int> m_connections;
    bool m_stopped = false;
    listener m_listener;
};

// ---- a link in front of another listener -------------------------------------------------------------

/// Passes bytes on. `silence` makes the connections that are open then silent for good: nothing that is sent
/// on them arrives any more, and they are neither closed nor reset. Later connections work.
class relay {
  public:
    relay(address at, address to)
        : m_to(std::move(to)), m_listener(std::move(at), [this](int fd) { serve(fd); }) {}
    ~relay() { m_listener.stop(); }
    [[nodiscard]] const address& at() const { return m_listener.at(); }

    std::size_t silence() {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto& each : m_open) {
            if (const auto open = each.lock()) {
                *open = true;
                ++count;
            }
        }
        m_open.clear();
        return count;
    }

  private:
    void serve(int near) {
        const int far = connect_to(m_to);
        if (far < 0) {
            return;
        }
        const auto silent = std::make_shared<std::atomic<bool>>(false);
        {
            const std::lock_guard lock(m_mutex);
            std::erase_if(m_open, [](const auto& each) { return each.expired(); });
            m_open.push_back(silent);
        }
        std::thread back([near, far, silent] { pump(far, near, *silent); });
        pump(near, far, *silent);
        ::shutdown(far, SHUT_RDWR);
        back.join();
        ::close(far);
    }
    static void pump(int from, int to, const std::atomic<bool>& silent) {
        char bytes[16384];
        while (true) {
            const ssize_t n = ::recv(from, bytes, sizeof(bytes), 0);
            if (n <= 0) {
                if (!silent) {
                    ::shutdown(to, SHUT_WR);
                }
                return;
            }
            if (!silent && !send_all(to, std::string(bytes, static_cast<std::size_t>(n)))) {
                return;
            }
        }
    }
    address m_to;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<std::atomic<bool>>> m_open;
    listener m_listener;
};

// ---- an engine of a plain service --------------------------------------------------------------------

struct arrival {
    std::int64_t at;
    std::string engine;
    std::string id;
    std::string target;
};

struct engine_options {
    std::string id;
    std::string service;
    std::string zone;
    std::int64_t work_ms = 20;
    /// Size of the answers, by the path of the request.
    std::function<std::size_t(const std::string& target)> answer_size = [](const std::string&) {
        return std::size_t{800};
    };
};

class engine {
  public:
    engine(address at, engine_options options, record& log)
        : m_options(std::move(options)), m_log(&log),
          m_listener(std::move(at), [this](int fd) { serve(fd); }) {}
    ~engine() { m_listener.stop(); }

    [[nodiscard]] json entry(const std::string& state = "ready") const {
        return {{"service", m_options.service},
                {"address", m_listener.at().str()},
                {"zone", m_options.zone},
                {"version", "v1"},
                {"slots", 6},
                {"state", state},
                {"cold_remaining_ms", 0},
                {"sequence", 1},
                {"born", m_born.load()}};
    }
    [[nodiscard]] const std::string& id() const { return m_options.id; }
    [[nodiscard]] const std::string& service() const { return m_options.service; }
    /// From now on all answers say that the engine leaves.
    void leave() { m_leaving = true; }
    /// Ends all connections, and turns new ones away until `start_again`.
    void crash() {
        const std::lock_guard lock(m_mutex);
        m_down = true;
        for (const int fd : m_connections) {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(fd, SHUT_RDWR);
        }
    }
    /// The engine starts again under the id that it had, with a new `born`.
    void start_again() {
        const std::lock_guard lock(m_mutex);
        m_down = false;
        m_born += 1000;
    }
    [[nodiscard]] std::vector<arrival> arrivals() const {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }
    static std::string body(const std::string& id, std::size_t size) {
        std::string text = "answer to " + id + "\n";
        while (text.size() < size) {
            text += "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n";
        }
        text.resize(size);
        return text;
    }

  private:
    void serve(int fd) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_down) {
                return;
            }
            m_connections.insert(fd);
        }
        answer_requests(fd);
        const std::lock_guard lock(m_mutex);
        m_connections.erase(fd);
    }

    void answer_requests(int fd) {
        reader in(fd);
        while (true) {
            const message call = read_message(in, false);
            if (!call.complete) {
                return;
            }
            if (call.target == "/health") {
                send_all(fd, answer_bytes(200, {{"Parsleypitch-Instance-Id", m_options.id}}, ""));
                continue;
            }
            const std::string id = call.header("Parsleypitch-Attempt-Id");
            const std::string expected = call.header("Parsleypitch-Target-Instance");
            if (!expected.empty() && expected != m_options.id) {
                send_all(fd, answer_bytes(421,
                                          {{"Parsleypitch-Instance-Id", m_options.id},
                                           {"Parsleypitch-Attempt-Id", id}},
                                          ""));
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                m_arrivals.push_back({now_ms(), m_options.id, id, call.target});
            }
            m_log->line("engine %s (%s) runs %s %s", m_options.id.c_str(), m_options.service.c_str(),
                        id.c_str(), call.target.c_str());
            sleep_ms(m_options.work_ms);
            std::vector<std::pair<std::string, std::string>> headers = {
                {"Parsleypitch-Attempt-Id", id},
                {"Parsleypitch-Response-Seal", "seal." + id},
                {"Content-Type", "text/plain"}};
            if (m_leaving) {
                headers.emplace_back("Server-Leaving", "1");
            }
            if (!send_all(fd, answer_bytes(200, headers, body(id, m_options.answer_size(call.target))))) {
                return;
            }
        }
    }
    engine_options m_options;
    record* m_log;
    std::atomic<bool> m_leaving{false};
    std::atomic<std::uint64_t> m_born{1796590000000ULL};
    bool m_down = false;
    std::set<int> m_connections;
    mutable std::mutex m_mutex;
    std::vector<arrival> m_arrivals;
    listener m_listener;
};

// ---- the processes under test ------------------------------------------------------------------------

struct bounds {
    std::int64_t contact_ms = 3000;
    std::int64_t drain_ms = 2000;
    std::int64_t config_apply_ms = 2000;
    double grace_s = 8;
};

/// One entry machine: the process of the deploy file with a settings file of its own.
class entry_host {
  public:
    entry_host(std::string name, std::string ip, std::string zone, const address& store_at,
               std::string folder, const bounds& limits, bool bootstrap)
        : m_name(std::move(name)), m_front{ip, free_port(ip)}, m_ready{ip, free_port(ip)} {
        const int first = free_port(ip);
        const json settings = {
            {"node", m_name},
            {"role", "entry"},
            {"machine_class", "edge"},
            {"serves", {"edge"}},
            {"ip", ip},
            {"zone", zone},
            {"region", "cymru"},
            {"zones", {{"caerdydd", "cymru"}, {"abertawe", "cymru"}, {"wrecsam", "cymru"}}},
            {"listen", {{"front", m_front.str()}, {"ready", m_ready.str()}}},
            {"internal_ports", {first, first + 15}},
            {"seeds", json::array()},
            {"bootstrap", bootstrap},
            {"fault_counted", false},
            {"limits",
             {{"cpu_share", 0.19},
              {"cores", 1},
              {"memory_mb", 260},
              {"max_fds", 4100},
              {"link_mbps", 1000.0},
              {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeat_ms", 1200},
            {"contracts",
             {"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
              "platform"}},
            {"tolerate", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
            {"bounds",
             {{"seed_lag_s", 3},
              {"reuse_after_s", 2},
              {"contact_ms", limits.contact_ms},
              {"ack_ms", 4000},
              {"catch_up_s", 4},
              {"drain_ms", limits.drain_ms},
              {"grace_s", limits.grace_s},
              {"loss_slack_ms", 200},
              {"config_apply_ms", limits.config_apply_ms},
              {"downgrade_slack_ms", 250},
              {"max_skew_ms", 5000},
              {"retry_budget_ratio", 0.2},
              {"budget_window_s", 10},
              {"retry_budget_slack", 58},
              {"recovery_s", 12},
              {"transit_ms", 120},
              {"reuse_window_s", 9.7},
              {"require_fence", false},
              {"lease_ms", 3000},
              {"thaw_ms", 300}}},
            {"platform",
             {{"address", store_at.str()},
              {"form", "objects"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"history_s", 20},
              {"value_bytes", 1048576},
              {"ttl_min_ms", 1000}}}};
        m_settings = folder + "/" + m_name + ".json";
        m_output = folder + "/" + m_name + ".log";
        std::ofstream(m_settings) << settings.dump(2);
    }
    ~entry_host() { kill(); }

    void start() {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            const int out = ::open(m_output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int fd = 3; fd < 1024; ++fd) {
                ::close(fd);
            }
            const std::string variable = "PARSLEYPITCH_SETTINGS=" + m_settings;
            const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
            char* environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()),
                                   nullptr};
            char program[] = "target/parsleypitch";
            char role[] = "serve";
            char* arguments[] = {program, role, nullptr};
            ::execve(program, arguments, environment);
            std::_Exit(127);
        }
    }
    void signal(int number) const {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void kill() {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    /// Whether the process has ended by itself; its status is kept.
    bool ended(int& status) {
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return m_pid < 0;
    }
    [[nodiscard]] pid_t pid() const { return m_pid; }
    [[nodiscard]] const address& front() const { return m_front; }
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& output() const { return m_output; }

    [[nodiscard]] bool ready() const {
        const int fd = connect_to(m_ready, 300);
        if (fd < 0) {
            return false;
        }
        set_receive_timeout(fd, 500);
        send_all(fd, "GET /ready HTTP/1.1\r\nHost: platform.example\r\nConnection: close\r\n\r\n");
        reader in(fd);
        const message answer = read_message(in, true);
        ::close(fd);
        return answer.complete && answer.status == 200;
    }
    [[nodiscard]] bool wait_ready(std::int64_t ms) const {
        const std::int64_t until = now_ms() + ms;
        while (now_ms() < until) {
            if (ready()) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

  private:
    std::string m_name;
    address m_front;
    address m_ready;
    std::string m_settings;
    std::string m_output;
    pid_t m_pid = -1;
};

// ---- clients -----------------------------------------------------------------------------------------

inline std::string request_bytes(const std::string& method, const std::string& target, const std::string& id,
                                 std::int64_t deadline_ms, const std::string& body = "") {
    std::string out = method + " " + target +
                      " HTTP/1.1\r\nHost: desk.example\r\nParsleypitch-Attempt-Id: " + id +
                      "\r\nParsleypitch-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (method != "GET") {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return out + "\r\n" + body;
}

inline std::string unique_id() {
    static std::atomic<std::uint64_t> next{1};
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(0x9c41d07be0000000ULL + next.fetch_add(1)));
    return text;
}

inline json route(const std::string& name, const std::string& prefix, const std::string& kind,
                  const std::string& service, std::int64_t timeout_ms, int attempts) {
    return {{"name", name},    {"host", "desk.example"},   {"path_prefix", prefix},
            {"kind", kind},    {"timeout_ms", timeout_ms}, {"target_latency_ms", 200},
            {"priority", 2},   {"service", service},       {"max_attempts", attempts},
            {"public", false}, {"sticky", false},          {"resumable", false}};
}

inline json configuration(std::uint64_t version, const std::vector<json>& routes,
                          const std::vector<std::string>& services) {
    json listed = json::array();
    for (const std::string& name : services) {
        listed.push_back({{"name", name},
                          {"health_path", "/health"},
                          {"max_connections", 110},
                          {"protocol", "h1"},
                          {"tls", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", listed},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

inline bool trouble() {
    const char* set = std::getenv("TROUBLE");
    return set == nullptr || std::string(set) != "0";
}

inline std::string temporary_folder() {
    ::alarm(100); // a case that hangs ends in time
    std::string pattern = (std::filesystem::temp_directory_path() / "parsleypitch-review-XXXXXX").string();
    return ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
}

/// Ends the case at once, because threads of the stand-ins still wait on their connections.
[[noreturn]] inline void finish(int code, const std::string& folder, record& log) {
    if (const char* kept = std::getenv("KEEP_LOGS")) {
        std::filesystem::copy(folder, kept,
                              std::filesystem::copy_options::recursive |
                                  std::filesystem::copy_options::overwrite_existing);
    }
    std::filesystem::remove_all(folder);
    log.summary("%s", code == 1   ? "the rule was broken"
                      : code == 0 ? "the rule held"
                                  : "the case could not run");
    std::_Exit(code);
}

} // namespace review
