// Stand-ins of the users' platform for the scripts of the review: HTTP, store, engines, callers and the start of the
// system's processes. One thread; every address is a loopback address.
#pragma once

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bed {

using asio::ip::tcp;
using nlohmann::json;
using clk = std::chrono::steady_clock;

inline asio::io_context io{1};
inline const clk::time_point began = clk::now();
inline double now_s() { return std::chrono::duration<double>(clk::now() - began).count(); }
inline std::uint64_t unix_ms() {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

inline FILE* record_file = nullptr;
/// Writes a line of record.txt: the time in seconds and a text.
inline void note(const char* format, ...) {
    if (record_file == nullptr) {
        return;
    }
    std::fprintf(record_file, "%8.3f  ", now_s());
    va_list args;
    va_start(args, format);
    std::vfprintf(record_file, format, args);
    va_end(args);
    std::fputc('\n', record_file);
}

inline void after(double seconds, std::function<void()> task) {
    auto timer = std::make_shared<asio::steady_timer>(io);
    timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, seconds) * 1e6)));
    timer->async_wait([timer, task = std::move(task)](const std::error_code& code) {
        if (!code) {
            task();
        }
    });
}

/// Runs a task at an interval until it returns false.
inline void every(double seconds, std::function<bool()> task) {
    after(seconds, [seconds, task] {
        if (task()) {
            every(seconds, task);
        }
    });
}

inline bool same_name(const std::string& a, const std::string& b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
               return std::tolower(x) == std::tolower(y);
           });
}

using headers = std::vector<std::pair<std::string, std::string>>;
inline std::string find(const headers& all, const std::string& name) {
    for (const auto& [key, value] : all) {
        if (same_name(key, name)) {
            return value;
        }
    }
    return "";
}

struct message {
    std::string first; // first line
    headers fields;
    std::string body;
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const {
        const auto a = first.find(' ') + 1;
        return first.substr(a, first.find(' ', a) - a);
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string field(const std::string& name) const { return find(fields, name); }
};

/// Parses a head that ends with an empty line.
inline message parse_head(const std::string& text) {
    message m;
    std::size_t at = text.find("\r\n");
    m.first = text.substr(0, at);
    at += 2;
    while (at < text.size()) {
        const std::size_t end = text.find("\r\n", at);
        if (end == at || end == std::string::npos) {
            break;
        }
        const std::string line = text.substr(at, end - at);
        const std::size_t colon = line.find(':');
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
            ++value;
        }
        m.fields.emplace_back(line.substr(0, colon), line.substr(value));
        at = end + 2;
    }
    return m;
}

class server;

/// A connection that a server has accepted. Requests have a length (the system sends no chunks).
class connection : public std::enable_shared_from_this<connection> {
  public:
    connection(tcp::socket socket, server* owner) : m_socket(std::move(socket)), m_owner(owner) {}
    void start();
    void respond(int status, const std::string& body, const headers& more = {}) {
        std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        for (const auto& [key, value] : more) {
            out += key + ": " + value + "\r\n";
        }
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        send(out);
        done();
    }
    void begin(int status, const headers& more) {
        std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        for (const auto& [key, value] : more) {
            out += key + ": " + value + "\r\n";
        }
        send(out + "Transfer-Encoding: chunked\r\n\r\n");
    }
    void chunk(const std::string& part) {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", part.size());
        send(size + part + "\r\n");
    }
    void end() {
        send("0\r\n\r\n");
        done();
    }
    /// Sends bytes as they are.
    void send(const std::string& bytes) {
        if (m_closed) {
            return;
        }
        m_out += bytes;
        flush();
    }
    /// The exchange is over; the next request of the connection is read.
    void done() {
        on_close = nullptr;
        m_busy = false;
        asio::post(io, [self = shared_from_this()] { self->take(); });
    }
    void close(bool reset = false) {
        if (std::exchange(m_closed, true)) {
            return;
        }
        std::error_code ignored;
        if (reset) {
            m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        m_socket.close(ignored);
        if (const auto hook = std::exchange(on_close, nullptr)) {
            hook();
        }
    }
    bool closed() const { return m_closed; }
    std::string peer() const {
        std::error_code ignored;
        return m_socket.remote_endpoint(ignored).address().to_string();
    }
    std::function<void()> on_close;

  private:
    void flush() {
        if (m_writing || m_out.empty() || m_closed) {
            return;
        }
        m_writing = true;
        m_sending.swap(m_out);
        m_out.clear();
        asio::async_write(m_socket, asio::buffer(m_sending),
                          [self = shared_from_this()](const std::error_code& code, std::size_t) {
                              self->m_writing = false;
                              self->m_sending.clear();
                              if (code) {
                                  self->close();
                              } else {
                                  self->flush();
                              }
                          });
    }
    void read() {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self = shared_from_this()](const std::error_code& code, std::size_t bytes) {
                                     if (code) {
                                         self->close();
                                         return;
                                     }
                                     self->m_in.append(self->m_buffer.data(), bytes);
                                     self->take();
                                     self->read();
                                 });
    }
    void take();

    tcp::socket m_socket;
    server* m_owner;
    std::array<char, 65536> m_buffer{};
    std::string m_in, m_out, m_sending;
    bool m_writing = false, m_busy = false, m_closed = false;
};
using conn = std::shared_ptr<connection>;

class server {
  public:
    std::function<void(const conn&, const message&)> handler;

    bool open(const std::string& ip, unsigned short port) {
        m_at = tcp::endpoint(asio::ip::make_address(ip), port);
        return reopen();
    }
    bool reopen() {
        std::error_code code;
        m_acceptor = std::make_shared<tcp::acceptor>(io);
        m_acceptor->open(tcp::v4(), code);
        m_acceptor->set_option(tcp::acceptor::reuse_address(true), code);
        m_acceptor->bind(m_at, code);
        if (code) {
            return false;
        }
        m_acceptor->listen(512, code);
        m_at = m_acceptor->local_endpoint();
        accept(m_acceptor);
        return !code;
    }
    /// Stops listening and closes all connections.
    void shut(bool reset = false) {
        std::error_code ignored;
        if (m_acceptor) {
            m_acceptor->close(ignored);
        }
        auto all = std::move(m_connections);
        m_connections.clear();
        for (const auto& weak : all) {
            if (const auto each = weak.lock()) {
                each->close(reset);
            }
        }
    }
    std::string address() const { return m_at.address().to_string() + ":" + std::to_string(m_at.port()); }

  private:
    void accept(const std::shared_ptr<tcp::acceptor>& on) {
        on->async_accept([this, on](const std::error_code& code, tcp::socket socket) {
            if (code) {
                return;
            }
            std::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            auto made = std::make_shared<connection>(std::move(socket), this);
            std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
            m_connections.push_back(made);
            made->start();
            accept(on);
        });
    }
    tcp::endpoint m_at;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::vector<std::weak_ptr<connection>> m_connections;
};

inline void connection::start() { read(); }
inline void connection::take() {
    if (m_busy || m_closed) {
        return;
    }
    const std::size_t end = m_in.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    message m = parse_head(m_in.substr(0, end + 4));
    const std::size_t length = std::strtoul(m.field("content-length").c_str(), nullptr, 10);
    if (m_in.size() < end + 4 + length) {
        return;
    }
    m.body = m_in.substr(end + 4, length);
    m_in.erase(0, end + 4 + length);
    m_busy = true;
    m_owner->handler(shared_from_this(), m);
}

/// What a caller saw of its request.
struct outcome {
    int status = 0; // 0: no answer
    bool complete = false;
    headers fields;
    std::string body;
    std::string end; // why it ended
};

/// One request on a new connection.
class caller : public std::enable_shared_from_this<caller> {
  public:
    caller() : m_socket(io), m_timer(io) {}
    std::function<void(const outcome&)> done;
    std::function<void(const std::string&)> part;

    void start(const std::string& to, const std::string& bytes, double wait_s) {
        const auto colon = to.rfind(':');
        m_bytes = bytes;
        m_timer.expires_after(std::chrono::milliseconds(static_cast<int>(wait_s * 1000)));
        m_timer.async_wait([self = shared_from_this()](const std::error_code& code) {
            if (!code) {
                self->finish("gave up");
            }
        });
        m_socket.async_connect(tcp::endpoint(asio::ip::make_address(to.substr(0, colon)),
                                             static_cast<unsigned short>(std::stoi(to.substr(colon + 1)))),
                               [self = shared_from_this()](const std::error_code& code) {
                                   if (code) {
                                       self->finish("no connection");
                                       return;
                                   }
                                   asio::async_write(self->m_socket, asio::buffer(self->m_bytes),
                                                     [self](const std::error_code&, std::size_t) {});
                                   self->read();
                               });
    }
    void leave() { finish("left"); }

  private:
    void read() {
        m_socket.async_read_some(asio::buffer(m_buffer),
                                 [self = shared_from_this()](const std::error_code& code, std::size_t bytes) {
                                     if (self->m_over) {
                                         return;
                                     }
                                     if (code) {
                                         self->finish(code == asio::error::eof ? "closed" : "reset");
                                         return;
                                     }
                                     self->m_in.append(self->m_buffer.data(), bytes);
                                     if (!self->parse()) {
                                         self->read();
                                     }
                                 });
    }
    /// Returns true when the answer is complete.
    bool parse() {
        if (!m_head) {
            const std::size_t end = m_in.find("\r\n\r\n");
            if (end == std::string::npos) {
                return false;
            }
            m_head = parse_head(m_in.substr(0, end + 4));
            m_in.erase(0, end + 4);
            m_result.status = m_head->status();
            m_result.fields = m_head->fields;
        }
        if (m_head->field("transfer-encoding").empty()) {
            const std::size_t length = std::strtoul(m_head->field("content-length").c_str(), nullptr, 10);
            if (m_in.size() < length) {
                return false;
            }
            m_result.body = m_in.substr(0, length);
            m_result.complete = true;
            finish("answered");
            return true;
        }
        while (true) {
            const std::size_t line = m_in.find("\r\n");
            if (line == std::string::npos) {
                return false;
            }
            const std::size_t size = std::strtoul(m_in.c_str(), nullptr, 16);
            if (m_in.size() < line + 2 + size + 2) {
                return false;
            }
            if (size == 0) {
                m_result.complete = true;
                finish("answered");
                return true;
            }
            m_result.body += m_in.substr(line + 2, size);
            if (part) {
                part(m_in.substr(line + 2, size));
            }
            m_in.erase(0, line + 2 + size + 2);
        }
    }
    void finish(const std::string& why) {
        if (std::exchange(m_over, true)) {
            return;
        }
        std::error_code ignored;
        m_timer.cancel();
        m_socket.close(ignored);
        m_result.end = why;
        if (done) {
            done(m_result);
        }
        done = nullptr;
        part = nullptr;
    }
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::string m_bytes, m_in;
    std::array<char, 65536> m_buffer{};
    std::optional<message> m_head;
    outcome m_result;
    bool m_over = false;
};

/// The platform's store (PROTOCOL.md, "The platform's metadata store", and the news on `Store-Era`).
class store {
  public:
    struct object {
        json spec, status;
        std::uint64_t revision = 0, created = 0;
    };
    struct contents {
        std::map<std::string, std::map<std::string, object>> kinds;
        std::uint64_t newest = 1;
    };
    contents now;
    std::uint64_t era = 1;
    std::uint64_t oldest = 0; // watches from before it get 410
    /// Called for each call that concerns a single object: number of the door, kind, name, method, status.
    std::function<void(std::size_t, const std::string&, const std::string&, const std::string&, int)> seen;

    /// Opens one more door (address) of the store, so that it can tell which machine calls.
    /// @return its address, empty if it can't be opened
    std::string open(const std::string& ip) {
        const std::size_t door = m_doors.size();
        m_doors.push_back(std::make_unique<server>());
        m_doors.back()->handler = [this, door](const conn& to, const message& call) { receive(door, to, call); };
        return m_doors.back()->open(ip, 0) ? m_doors.back()->address() : "";
    }

    /// Writes as the operator or an engine does. A write that changes nothing leaves the revision.
    void put(const std::string& kind, const std::string& name, json spec) {
        auto& all = now.kinds[kind];
        const auto found = all.find(name);
        if (found != all.end() && found->second.spec == spec) {
            return;
        }
        object& o = all[name];
        o.spec = std::move(spec);
        o.revision = ++now.newest;
        o.created = o.created == 0 ? o.revision : o.created;
        changed(kind, name, false);
    }
    void erase(const std::string& kind, const std::string& name) {
        auto& all = now.kinds[kind];
        if (all.contains(name)) {
            json last = encode(name, all[name]);
            all.erase(name);
            ++now.newest;
            changed(kind, name, true, last);
        }
    }
    /// The store goes away.
    void away() {
        m_watches.clear();
        for (const auto& door : m_doors) {
            door->shut(true);
        }
    }
    /// It comes back from a copy.
    void back_from(const contents& copy) {
        now = copy;
        ++era;
        m_history.clear();
        oldest = now.newest;
        for (const auto& door : m_doors) {
            door->reopen();
        }
    }

  private:
    struct change {
        std::uint64_t revision;
        std::string kind;
        json event;
    };
    struct watch {
        std::uint64_t number;
        std::string kind;
        std::uint64_t from;
        conn to;
    };
    json encode(const std::string& name, const object& o) const {
        return {{"metadata",
                 {{"name", name}, {"revision", o.revision}, {"created", o.created}, {"finalizers", json::array()}, {"deleting", false}}},
                {"spec", o.spec},
                {"status", o.status}};
    }
    void answer(const conn& to, int status, const json& body) const {
        to->respond(status, body.dump(), {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}});
    }
    void changed(const std::string& kind, const std::string& name, bool deleted, const json& last = {}) {
        m_history.push_back({now.newest, kind, {{"deleted", deleted}, {"object", deleted ? last : encode(name, now.kinds[kind][name])}}});
        for (auto at = m_watches.begin(); at != m_watches.end();) {
            const auto each = at++;
            if (each->kind == kind) {
                end_watch(each);
            }
        }
    }
    json events(const std::string& kind, std::uint64_t from) const {
        json all = json::array();
        for (const change& each : m_history) {
            if (each.kind == kind && each.revision > from) {
                all.push_back(each.event);
            }
        }
        return all;
    }
    void end_watch(std::list<watch>::iterator at) {
        const watch ended = *at;
        m_watches.erase(at);
        ended.to->on_close = nullptr;
        answer(ended.to, 200, {{"events", events(ended.kind, ended.from)}, {"as_of", now.newest}});
    }
    void receive(std::size_t door, const conn& to, const message& call) {
        std::string target = call.target();
        std::map<std::string, std::string> query;
        if (const auto mark = target.find('?'); mark != std::string::npos) {
            std::string rest = target.substr(mark + 1);
            target.resize(mark);
            while (!rest.empty()) {
                const auto end = rest.find('&');
                const std::string pair = rest.substr(0, end);
                query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
                rest = end == std::string::npos ? "" : rest.substr(end + 1);
            }
        }
        const std::string path = target.substr(std::string("/objects/").size());
        const std::string kind = path.substr(0, path.find('/'));
        const std::string name = path.find('/') == std::string::npos ? "" : path.substr(path.find('/') + 1);
        const std::string method = call.method();
        auto& all = now.kinds[kind];
        const auto reply = [&](const std::string& of, int status, const json& body) {
            if (seen) {
                seen(door, kind, of, method, status);
            }
            answer(to, status, body);
        };
        if (method == "GET" && !name.empty()) {
            const auto found = all.find(name);
            found == all.end() ? reply(name, 404, json::object()) : reply(name, 200, encode(name, found->second));
            return;
        }
        if (method == "GET" && query.contains("watch")) {
            const std::uint64_t from = std::stoull(query["watch"]);
            if (from < oldest || from > now.newest) {
                answer(to, 410, json::object());
                return;
            }
            if (json found = events(kind, from); !found.empty()) {
                answer(to, 200, {{"events", found}, {"as_of", now.newest}});
                return;
            }
            const std::uint64_t number = ++m_number;
            m_watches.push_back({number, kind, from, to});
            to->on_close = [this, number] {
                m_watches.remove_if([number](const watch& each) { return each.number == number; });
            };
            after(std::stoul(query["wait_ms"]) / 1000.0, [this, number] {
                for (auto each = m_watches.begin(); each != m_watches.end(); ++each) {
                    if (each->number == number) {
                        end_watch(each);
                        return;
                    }
                }
            });
            return;
        }
        if (method == "GET") {
            json items = json::array();
            for (const auto& [key, o] : all) {
                if (key > query["after"]) {
                    items.push_back(encode(key, o));
                }
            }
            answer(to, 200, {{"items", items}, {"has_more", false}, {"as_of", now.newest}});
            return;
        }
        if (method == "DELETE") {
            const auto found = all.find(name);
            if (found == all.end()) {
                reply(name, 404, json::object());
            } else if (query.contains("revision") && std::stoull(query["revision"]) != found->second.revision) {
                reply(name, 409, encode(name, found->second));
            } else {
                const json last = encode(name, found->second);
                erase(kind, name);
                reply(name, 200, last);
            }
            return;
        }
        const json sent = json::parse(call.body, nullptr, false);
        const json metadata = sent.value("metadata", json::object());
        const std::string of = method == "POST" ? metadata.value("name", "") : name;
        const auto found = all.find(of);
        if (method == "PUT" && found == all.end()) {
            reply(of, 404, json::object());
        } else if ((method == "POST" && found != all.end()) ||
                   (found != all.end() && metadata.contains("revision") &&
                    metadata["revision"].get<std::uint64_t>() != found->second.revision)) {
            reply(of, 409, encode(of, found->second));
        } else {
            put(kind, of, sent["spec"]);
            reply(of, method == "POST" ? 201 : 200, encode(of, now.kinds[kind][of]));
        }
    }
    std::vector<std::unique_ptr<server>> m_doors;
    std::deque<change> m_history;
    std::list<watch> m_watches;
    std::uint64_t m_number = 0;
};

/// A port of an address that is free now.
inline unsigned short free_port(const std::string& ip) {
    asio::io_context own;
    tcp::acceptor probe(own, tcp::endpoint(asio::ip::make_address(ip), 0));
    return probe.local_endpoint().port();
}

/// Two ports in a row that are free for TCP and UDP.
inline unsigned short free_pair(const std::string& ip) {
    for (unsigned short first = 7380; first < 9000; first += 16) {
        asio::io_context own;
        std::error_code code;
        bool free = true;
        for (unsigned short port : {first, static_cast<unsigned short>(first + 1)}) {
            tcp::acceptor probe(own);
            probe.open(tcp::v4(), code);
            probe.bind({asio::ip::make_address(ip), port}, code);
            free = free && !code;
            asio::ip::udp::socket datagrams(own);
            datagrams.open(asio::ip::udp::v4(), code);
            datagrams.bind({asio::ip::make_address(ip), port}, code);
            free = free && !code;
        }
        if (free) {
            return first;
        }
    }
    return 0;
}

/// A process of the system, started with the command of the deploy file.
class host {
  public:
    std::string name, ip, zone, front, ready;
    pid_t pid = 0;

    void configure(const std::string& folder, const std::string& store_address, const json& bounds, bool bootstrap) {
        const unsigned short first = free_pair(ip);
        front = ip + ":" + std::to_string(free_port(ip));
        ready = ip + ":" + std::to_string(free_port(ip));
        m_settings = folder + "/" + name + ".json";
        m_log = folder + "/" + name + ".log";
        m_values = {{"node", name},
                    {"role", "entry"},
                    {"machine_class", "edge"},
                    {"serves", {"edge"}},
                    {"ip", ip},
                    {"zone", zone},
                    {"region", "dar-coast"},
                    {"zones", {{zone, "dar-coast"}}},
                    {"listen", {{"front", front}, {"ready", ready}, {"control", ip + ":1"}}},
                    {"internal_ports", {first, first + 15}},
                    {"seeds", json::array()},
                    {"bootstrap", bootstrap},
                    {"fault_counted", false},
                    {"limits", {{"cpu_share", 0.19}, {"cores", 1}, {"memory_mb", 260}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
                    {"data_dir", nullptr},
                    {"discovery", "platform"},
                    {"entry", "vip"},
                    {"heartbeat_ms", 1200},
                    {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"}},
                    {"tolerate", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
                    {"bounds", bounds},
                    {"platform", {{"address", store_address}, {"form", "objects"}, {"writes_per_s", 400}, {"reads_per_s", 2000}, {"history_s", 20}, {"value_bytes", 1048576}, {"ttl_min_ms", 1000}}}};
        write();
    }
    void write() const { std::ofstream(m_settings) << m_values.dump(2); }
    bool start(const std::string& program) {
        std::fflush(nullptr);
        pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program, however that ends
            const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            for (int fd = 3; fd < 4096; ++fd) {
                ::close(fd);
            }
            const std::string variable = "PARSLEYPITCH_SETTINGS=" + m_settings;
            std::string serve = "serve", path = program;
            char* arguments[] = {path.data(), serve.data(), nullptr};
            char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        note("machine %s started, front %s", name.c_str(), front.c_str());
        return pid > 0;
    }
    void signal(int number) const {
        if (pid > 0) {
            ::kill(pid, number);
        }
    }
    bool ended() {
        int status = 0;
        if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
            pid = 0;
        }
        return pid == 0;
    }
    void kill_now() {
        if (pid > 0) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
            pid = 0;
        }
    }
    const std::string& log() const { return m_log; }

  private:
    std::string m_settings, m_log;
    json m_values;
};

inline json default_bounds() {
    return {{"seed_lag_s", 3}, {"reuse_after_s", 2}, {"contact_ms", 3000}, {"ack_ms", 4000}, {"catch_up_s", 4},
            {"drain_ms", 2000}, {"grace_s", 8}, {"loss_slack_ms", 200}, {"config_apply_ms", 2000}, {"downgrade_slack_ms", 250},
            {"max_skew_ms", 5000}, {"retry_budget_ratio", 0.2}, {"budget_window_s", 10}, {"retry_budget_slack", 54}, {"recovery_s", 12},
            {"transit_ms", 120}, {"reuse_window_s", 10}, {"require_fence", false}, {"lease_ms", 3000}, {"thaw_ms", 300}};
}

/// A temporary folder that is removed at the end.
struct scratch {
    std::string path;
    scratch() {
        char text[] = "/tmp/review-XXXXXX";
        path = ::mkdtemp(text);
    }
    ~scratch() {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path, ignored);
        }
    }
};

/// A loopback network of this run: distinct runs get distinct addresses.
inline std::string address(unsigned last) {
    static const unsigned part = 16 + static_cast<unsigned>(::getpid()) % 200;
    static const unsigned other = 1 + static_cast<unsigned>(unix_ms()) % 250;
    return "127." + std::to_string(part) + "." + std::to_string(other) + "." + std::to_string(last);
}

inline std::mt19937_64 random_source{std::random_device{}()};
inline std::string random_id() {
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_source()));
    return text;
}

} // namespace bed
