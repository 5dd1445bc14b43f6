#include "net/address.hpp"

#include <parsleypitch/serving/peer_calls.hpp>

#include <asio/io_context.hpp>

namespace parsleypitch {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
/// Largest body of a call and of its answer: a configuration, or the counts of all accounts.
constexpr byte_count max_call_body{4'194'304};
/// Interval at which idle connections to other hosts are closed.
constexpr milliseconds sweep_period{1000};

/// Collects the answer to one call.
struct pending_call {
    std::function<void(result<std::string>)> done;
    std::string path;
    unsigned status = 0;
    std::string body;

    void end() {
        if (status == status_ok) {
            done(std::move(body));
        } else if (status == status_not_found) {
            done(fail(errc::object_not_found, path));
        } else {
            done(fail(errc::backend_failed, path + ": status " + std::to_string(status)));
        }
    }
};

} // namespace

service_name peer_calls::name() const {
    return peer_calls_name();
}

result<void> peer_calls::start(kernel& host) {
    m_kernel = &host;
    if (!enabled()) {
        return success();
    }
    m_client = std::make_unique<http::client>(host.control_context(), http::client_limits{});
    m_server = std::make_unique<http::server>(
        host.control_context(), [this](const auto& exchange) { answer(exchange); },
        [](http::parse_error) {
            http::response malformed;
            malformed.head.status = status_bad_request;
            return malformed;
        });
    http::server_limits limits;
    limits.message.body = max_call_body;
    m_server->set_limits(limits);
    BOOST_OUTCOME_TRY(m_server->listen(m_own));
    host.post_control_every(sweep_period, [this] {
        if (m_client) {
            m_client->sweep(std::chrono::steady_clock::now());
        }
    });
    return success();
}

void peer_calls::stop() {
    if (!m_server) {
        return;
    }
    m_kernel->post_control([this] {
        m_server->stop();
        m_handlers.clear();
    });
}

void peer_calls::answer(const std::shared_ptr<http::exchange>& exchange) const {
    const auto found = m_handlers.find(exchange->message().target);
    const auto body = found == m_handlers.end() ? std::nullopt : found->second(exchange->message().body);
    http::response response;
    response.head.status = body ? status_ok : status_not_found;
    response.head.headers.add("Content-Type", "application/json");
    response.body = body.value_or("");
    exchange->respond(std::move(response));
}

void peer_calls::call(const endpoint& peer, const std::string& path, const std::string& body,
                      duration timeout, std::function<void(result<std::string>)> done) {
    if (!m_client) {
        done(fail(errc::backend_unreachable, "calls between entry hosts have no port"));
        return;
    }
    const endpoint target(net::split(peer).host + ":" + std::to_string(net::split(m_own).port));
    http::request message;
    message.method = body.empty() ? "GET" : "POST";
    message.target = path;
    message.headers.set("Host", target.str());
    message.body = body;
    auto pending = std::make_shared<pending_call>();
    pending->done = std::move(done);
    pending->path = path;
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.sent = [] {};
    hooks.head = [pending](const http::response_head& head) { pending->status = head.status; };
    hooks.body = [pending](const std::string& part) { pending->body.append(part); };
    hooks.end = [pending] { pending->end(); };
    hooks.failed = [pending](const error& why) { pending->done(why); };
    http::call_options options;
    options.timeout = timeout;
    options.max_body = max_call_body;
    (void)m_client->start(target, http::serialize(message), options, std::move(hooks));
}

service_name peer_calls_name() {
    return service_name("peer_calls");
}

} // namespace parsleypitch
