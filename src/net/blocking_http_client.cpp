#include "net/blocking_http_client.hpp"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace parsleypitch::net {

namespace {

/// Largest body that is collected.
constexpr byte_count max_collected_body{67'108'864};

http::client_limits limits_for(const http_timeouts& timeouts) {
    http::client_limits limits;
    limits.connect_timeout = timeouts.connect;
    return limits;
}

} // namespace

/// One call, from its start to its outcome.
struct blocking_http_client::call_state : std::enable_shared_from_this<call_state> {
    explicit call_state(asio::io_context& context) : silence(context) {}

    void end(result<void> how) {
        outcome = std::move(how);
        silence.cancel();
    }
    /// Starts the time allowed without a byte anew.
    void arm(milliseconds timeout) {
        silence.expires_after(timeout);
        silence.async_wait([self = shared_from_this()](const std::error_code& cancelled) {
            if (!cancelled && !self->outcome) {
                self->handle.cancel();
                self->end(fail(errc::backend_silent, "no byte of the response before the read timeout"));
            }
        });
    }

    asio::steady_timer silence;
    http::call_handle handle;
    std::optional<result<void>> outcome;
};

blocking_http_client::blocking_http_client(endpoint target, http_timeouts timeouts)
    : m_target(std::move(target)), m_timeouts(timeouts), m_client(m_context, limits_for(timeouts)) {
}

result<http::response> blocking_http_client::get(std::string path) {
    return call({"GET", std::move(path), {}, ""});
}

result<http::response> blocking_http_client::call(http::request message) {
    http::response collected;
    response_sink sink;
    sink.head = [&collected](const http::response_head& head) { collected.head = head; };
    sink.body = [&collected](const std::string& part) {
        collected.body += part;
        return true;
    };
    BOOST_OUTCOME_TRY(run(std::move(message), max_collected_body, std::move(sink)));
    return collected;
}

result<void> blocking_http_client::call(http::request message, response_sink sink) {
    return run(std::move(message), http::unlimited_body, std::move(sink));
}

result<void> blocking_http_client::run(http::request message, byte_count max_body, response_sink sink) {
    m_context.restart();
    m_context.poll(); // closes the idle connection if the server has closed it
    m_context.restart();
    message.headers.set("Host", m_target.str());
    http::call_options options;
    options.is_head_request = message.method == "HEAD";
    options.max_body = max_body;
    const auto state = std::make_shared<call_state>(m_context);
    http::call_hooks hooks;
    hooks.matches_request = [](const http::response_head&) { return true; };
    hooks.sent = [state, this] { state->arm(m_timeouts.read); };
    hooks.head = [state, this, &sink](const http::response_head& head) {
        state->arm(m_timeouts.read);
        sink.head(head);
    };
    hooks.body = [state, this, &sink](const std::string& part) {
        state->arm(m_timeouts.read);
        if (!sink.body(part)) {
            state->handle.cancel();
            state->end(success());
        }
    };
    hooks.end = [state] { state->end(success()); };
    hooks.failed = [state](const error& why) { state->end(why); };
    state->handle = m_client.start(m_target, http::serialize(message), options, std::move(hooks));
    while (!state->outcome && m_context.run_one() > 0) {
    }
    return state->outcome.value_or(fail(errc::backend_broken, "the call ended without a result"));
}

} // namespace parsleypitch::net
