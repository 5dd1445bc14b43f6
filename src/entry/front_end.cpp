#include "entry/http_messages.hpp"
#include "net/address.hpp"
#include "net/on_demand_thread_pool.hpp"

#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/entry/front_end.hpp>

#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace parsleypitch {

namespace detail {

constexpr const char* json_type = "application/json";
// Time for the load balancer to notice that /healthz fails, before new requests are refused.
constexpr milliseconds drain_notice_period{2000};
// Maximum wait of a planned stop for open requests; the longest generations take minutes.
constexpr seconds drain_timeout{120};
constexpr int listen_backlog = 1024;
constexpr seconds body_timeout{5};

/// Counts the open requests, so that a planned stop can wait for them.
class open_request_counter {
  public:
    void add() {
        const std::lock_guard lock(m_mutex);
        ++m_open;
    }
    void remove() {
        const std::lock_guard lock(m_mutex);
        if (--m_open == 0) {
            m_all_finished.notify_all();
        }
    }
    bool wait_until_none(duration timeout) {
        std::unique_lock lock(m_mutex);
        return m_all_finished.wait_for(lock, timeout, [this] { return m_open == 0; });
    }

  private:
    std::mutex m_mutex;
    std::condition_variable m_all_finished;
    int m_open = 0;
};

/// The accounts of one environment by the SHA-256 of their keys.
struct account_index {
    std::shared_ptr<const environment> source;
    std::unordered_map<std::string, const account_spec*> by_key;
};

const model_spec* find_model(const environment& env, const model_id& id) {
    for (const model_spec& model : env.models) {
        if (model.id == id) {
            return &model;
        }
    }
    return nullptr;
}

result<const operation_spec*> find_operation(const environment& env, const plain_service_id& id,
                                             const operation_id& operation) {
    for (const plain_service_spec& each : env.plain_services) {
        if (each.id != id) {
            continue;
        }
        for (const operation_spec& spec : each.operations) {
            if (spec.id == operation) {
                return &spec;
            }
        }
        return fail(errc::unknown_operation, id.str() + "/" + operation.str());
    }
    return fail(errc::unknown_service, id.str());
}

} // namespace detail

struct front_end::state {
    state(const entry_settings& entry, front_end_hooks service_hooks)
        : settings(entry), hooks(std::move(service_hooks)) {}

    void add_routes();
    void generation(const httplib::Request& http, httplib::Response& response,
                    detail::generation_endpoint kind);
    void plain_call(const httplib::Request& http, httplib::Response& response);
    void health(httplib::Response& response) const;
    /// Identifies the account by its key and checks the requested rank.
    result<caller_request> authenticate(const httplib::Request& http,
                                        const std::shared_ptr<const environment>& env);
    result<caller_request> prepare_generation(const httplib::Request& http, detail::generation_endpoint kind,
                                              bool& stream);
    result<caller_request> prepare_call(const httplib::Request& http);
    void refuse(const caller_request& request, httplib::Response& response, const refusal& refused);
    void report_end(const caller_request& request, const request_outcome& outcome);
    void send_complete_answer(const std::shared_ptr<generation_run>& run, generation_run::step first,
                              httplib::Response& response, detail::generation_endpoint kind,
                              time_point arrived);
    void stream_answer(const std::shared_ptr<generation_run>& run, const generation_run::step& first,
                       httplib::Response& response, detail::generation_endpoint kind, time_point arrived);
    std::shared_ptr<const detail::account_index>
    accounts_by_key(const std::shared_ptr<const environment>& env);

    entry_settings settings;
    front_end_hooks hooks;
    httplib::Server server;
    int listening_socket = -1;
    std::thread listener;
    detail::open_request_counter open_requests;
    std::atomic<bool> draining = false;
    /// New requests are refused, as the notice period of the drain is over.
    std::atomic<bool> rejecting = false;
    std::atomic<std::shared_ptr<const detail::account_index>> accounts_index;
};

front_end::front_end(const entry_settings& settings, front_end_hooks hooks)
    : m_state(std::make_unique<state>(settings, std::move(hooks))) {
}

front_end::~front_end() = default;

bool front_end::draining() const {
    return m_state->draining;
}

result<void> front_end::start(kernel&) {
    httplib::Server& server = m_state->server;
    const unsigned threads = m_state->settings.caller_threads;
    server.new_task_queue = [threads] { return new net::on_demand_thread_pool(threads); };
    server.set_tcp_nodelay(true);
    server.set_payload_max_length(static_cast<std::size_t>(m_state->settings.max_body.value()));
    server.set_read_timeout(detail::body_timeout);
    server.set_keep_alive_max_count(1'000'000);
    server.set_socket_options([this](socket_t sock) {
        const int on = 1;
        ::setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        m_state->listening_socket = sock;
    });
    m_state->add_routes();
    const auto [host, port] = net::split(m_state->settings.callers);
    if (!server.bind_to_port(host.c_str(), port)) {
        return fail(errc::bind_failed, m_state->settings.callers.str());
    }
    // cpp-httplib listens with a backlog of 5, which a burst of connections overflows.
    ::listen(m_state->listening_socket, detail::listen_backlog);
    m_state->listener = std::thread([&server] { server.listen_after_bind(); });
    return success();
}

void front_end::drain() {
    m_state->draining = true;
    std::this_thread::sleep_for(detail::drain_notice_period);
    m_state->rejecting = true;
    if (!m_state->open_requests.wait_until_none(detail::drain_timeout)) {
        LOG(WARNING) << "front end: requests are still open after a wait of " << detail::drain_timeout.count()
                     << " s";
    }
}

void front_end::stop() {
    m_state->server.stop();
    if (m_state->listener.joinable()) {
        m_state->listener.join();
    }
}

void front_end::state::add_routes() {
    const auto counted = [this](auto handler) {
        return [this, handler](const httplib::Request& http, httplib::Response& response) {
            open_requests.add();
            handler(http, response);
            // A streamed answer is open until its content provider is released.
            if (!response.content_provider_) {
                open_requests.remove();
            }
        };
    };
    server.Post("/v1/completions", counted([this](const auto& http, auto& response) {
                    generation(http, response, detail::generation_endpoint::completions);
                }));
    server.Post("/v1/chat/completions", counted([this](const auto& http, auto& response) {
                    generation(http, response, detail::generation_endpoint::chat);
                }));
    server.Post(R"(/v1/services/([^/]+)/([^/]+))",
                counted([this](const auto& http, auto& response) { plain_call(http, response); }));
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(hooks.metrics(), "text/plain; version=0.0.4");
    });
    server.Get("/healthz",
               [this](const httplib::Request&, httplib::Response& response) { health(response); });
    const httplib::Server::HandlerWithResponse encode_error = [this](const httplib::Request&,
                                                                     httplib::Response& response) {
        if (!response.body.empty()) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        const bool large = response.status == 413;
        const refusal refused{fail(large ? errc::body_too_large : errc::malformed_request,
                                   "HTTP status " + std::to_string(response.status)),
                              run_state::not_run,
                              {}};
        const request_id id = hooks.new_request_id();
        response.set_header("X-Request-Id", id.str());
        response.set_content(detail::encode_refusal(id, refused), detail::json_type);
        return httplib::Server::HandlerResponse::Handled;
    };
    server.set_error_handler(encode_error);
}

void front_end::state::health(httplib::Response& response) const {
    const entry_health health = hooks.health();
    const bool serving = health.ready && !draining;
    response.status = serving ? 200 : 503;
    const nlohmann::json body = {{"status", serving    ? "ok"
                                            : draining ? "draining"
                                                       : "starting"},
                                 {"config_version", health.config.value()},
                                 {"config_proven", health.config_proven},
                                 {"live_backend_servers", health.live_backend_servers}};
    response.set_content(body.dump(), detail::json_type);
}

std::shared_ptr<const detail::account_index>
front_end::state::accounts_by_key(const std::shared_ptr<const environment>& env) {
    auto current = accounts_index.load();
    if (current && current->source == env) {
        return current;
    }
    auto created = std::make_shared<detail::account_index>();
    created->source = env;
    for (const account_spec& account : env->accounts) {
        created->by_key[account.key_sha256] = &account;
    }
    accounts_index.store(created);
    return created;
}

result<caller_request> front_end::state::authenticate(const httplib::Request& http,
                                                      const std::shared_ptr<const environment>& env) {
    static constexpr std::string_view scheme = "Bearer ";
    const std::string authorization = http.get_header_value("Authorization");
    if (authorization.rfind(scheme, 0) != 0) {
        return fail(errc::unknown_account, "expected the header Authorization: Bearer <account key>");
    }
    const auto known = accounts_by_key(env);
    const auto found = known->by_key.find(sha256_hex(std::string_view(authorization).substr(scheme.size())));
    if (found == known->by_key.end()) {
        return fail(errc::unknown_account, "no account has this key");
    }
    caller_request request;
    request.caller = found->second->id;
    request.priority = found->second->highest_rank;
    request.weight = found->second->weight;
    if (http.has_header("X-Rank")) {
        const auto wanted = parse_rank(http.get_header_value("X-Rank"));
        if (!wanted) {
            return fail(errc::malformed_request, "X-Rank: expected urgent, normal or bulk");
        }
        if (*wanted < found->second->highest_rank) {
            return fail(errc::rank_not_allowed,
                        "the highest rank of this account is " + std::string(to_string(request.priority)));
        }
        request.priority = *wanted;
    }
    request.start_by = hooks.clock() + env->ranks[index_of(request.priority)].deadline;
    return request;
}

result<caller_request> front_end::state::prepare_generation(const httplib::Request& http,
                                                            detail::generation_endpoint kind, bool& stream) {
    const auto env = hooks.current_environment();
    if (!env) {
        return fail(errc::config_unavailable, "this entry host has not adopted a configuration yet");
    }
    if (rejecting) {
        return fail(errc::draining, "this entry host is stopping");
    }
    BOOST_OUTCOME_TRY(request, authenticate(http, env));
    BOOST_OUTCOME_TRY(body, detail::parse_generation_body(http.body, kind));
    const model_spec* model = detail::find_model(*env, body.work.model);
    if (model == nullptr) {
        return fail(errc::unknown_model, body.work.model.str());
    }
    body.work.version = model->version;
    stream = body.stream;
    request.work = std::move(body.work);
    return request;
}

result<caller_request> front_end::state::prepare_call(const httplib::Request& http) {
    const auto env = hooks.current_environment();
    if (!env) {
        return fail(errc::config_unavailable, "this entry host has not adopted a configuration yet");
    }
    if (rejecting) {
        return fail(errc::draining, "this entry host is stopping");
    }
    BOOST_OUTCOME_TRY(request, authenticate(http, env));
    call_work work;
    work.plain_service = plain_service_id(http.matches[1].str());
    work.operation = operation_id(http.matches[2].str());
    BOOST_OUTCOME_TRY(operation, detail::find_operation(*env, work.plain_service, work.operation));
    work.repeatable = operation->repeatable;
    work.key = idempotency_key(http.get_header_value("Idempotency-Key"));
    if (!work.repeatable && work.key.empty()) {
        return fail(errc::idempotency_key_required,
                    "expected the header Idempotency-Key for " + work.operation.str());
    }
    work.body = http.body;
    work.content_type =
        http.has_header("Content-Type") ? http.get_header_value("Content-Type") : detail::json_type;
    request.work = std::move(work);
    return request;
}

void front_end::state::refuse(const caller_request& request, httplib::Response& response,
                              const refusal& refused) {
    response.status = detail::http_status(refused);
    if (refused.retry_after.count() > 0) {
        response.set_header("Retry-After", std::to_string((refused.retry_after.count() + 999) / 1000));
    }
    response.set_content(detail::encode_refusal(request.id, refused), detail::json_type);
}

void front_end::state::report_end(const caller_request& request, const request_outcome& outcome) {
    hooks.on_end(request, outcome);
}

void front_end::state::plain_call(const httplib::Request& http, httplib::Response& response) {
    const time_point arrived = hooks.clock();
    const request_id id = hooks.new_request_id();
    response.set_header("X-Request-Id", id.str());
    auto prepared = prepare_call(http);
    caller_request request = prepared ? std::move(prepared.value()) : caller_request{};
    request.id = id;
    request_outcome outcome;
    if (!prepared) {
        outcome.refused = refusal{prepared.error(), run_state::not_run, {}};
    } else if (auto refused = hooks.admit(request)) {
        outcome.refused = std::move(refused);
    } else {
        auto ended = hooks.call(request);
        hooks.release(request);
        if (const auto* answer = std::get_if<plain_answer>(&ended)) {
            response.status = static_cast<int>(answer->status);
            response.set_content(answer->body,
                                 answer->content_type.empty() ? detail::json_type : answer->content_type);
        } else {
            outcome.refused = std::get<refusal>(std::move(ended));
        }
    }
    if (outcome.refused) {
        refuse(request, response, *outcome.refused);
    }
    outcome.first_answer = hooks.clock() - arrived;
    outcome.total = outcome.first_answer;
    report_end(request, outcome);
}

void front_end::state::generation(const httplib::Request& http, httplib::Response& response,
                                  detail::generation_endpoint kind) {
    const time_point arrived = hooks.clock();
    const request_id id = hooks.new_request_id();
    response.set_header("X-Request-Id", id.str());
    bool stream = false;
    auto prepared = prepare_generation(http, kind, stream);
    caller_request request = prepared ? std::move(prepared.value()) : caller_request{};
    request.id = id;
    std::optional<refusal> refused;
    if (!prepared) {
        refused = refusal{prepared.error(), run_state::not_run, {}};
    } else {
        refused = hooks.admit(request);
    }
    if (refused) {
        refuse(request, response, *refused);
        report_end(request, {refused, hooks.clock() - arrived, hooks.clock() - arrived, {}, {}, {}, false});
        return;
    }
    const auto release_and_delete = [this](generation_run* run) {
        hooks.release(run->request());
        std::default_delete<generation_run>()(run);
    };
    const std::shared_ptr<generation_run> run(new generation_run(std::move(request), *hooks.generation_hooks),
                                              release_and_delete);
    generation_run::step first = run->next();
    if (const auto* failed = std::get_if<refusal>(&first)) {
        refuse(run->request(), response, *failed);
        report_end(
            run->request(),
            {*failed, hooks.clock() - arrived, hooks.clock() - arrived, {}, run->attempts(), {}, false});
        return;
    }
    if (stream) {
        stream_answer(run, first, response, kind, arrived);
    } else {
        send_complete_answer(run, std::move(first), response, kind, arrived);
    }
}

void front_end::state::send_complete_answer(const std::shared_ptr<generation_run>& run,
                                            generation_run::step first, httplib::Response& response,
                                            detail::generation_endpoint kind, time_point arrived) {
    request_outcome outcome;
    outcome.first_answer = hooks.clock() - arrived;
    std::string text;
    generation_run::step step = std::move(first);
    while (const auto* token = std::get_if<token_event>(&step)) {
        text += token->text;
        outcome.tokens += token_count(1);
        step = run->next();
    }
    if (const auto* end = std::get_if<generation_end>(&step)) {
        response.set_content(detail::encode_whole_answer(run->request(), text, *end, kind),
                             detail::json_type);
    } else {
        outcome.refused = std::get<refusal>(step);
        refuse(run->request(), response, *outcome.refused);
    }
    outcome.total = hooks.clock() - arrived;
    outcome.attempts = run->attempts();
    if (outcome.tokens > token_count(1)) {
        outcome.between_tokens = (outcome.total - outcome.first_answer) / (outcome.tokens.value() - 1);
    }
    report_end(run->request(), outcome);
}

void front_end::state::stream_answer(const std::shared_ptr<generation_run>& run,
                                     const generation_run::step& first, httplib::Response& response,
                                     detail::generation_endpoint kind, time_point arrived) {
    auto outcome = std::make_shared<request_outcome>();
    outcome->first_answer = hooks.clock() - arrived;
    outcome->caller_gone = true;
    auto step = std::make_shared<generation_run::step>(first);
    const auto provider = [this, run, outcome, step, kind](std::size_t, httplib::DataSink& sink) {
        const auto send = [&sink](const std::string& text) { return sink.write(text.data(), text.size()); };
        if (const auto* token = std::get_if<token_event>(step.get())) {
            if (!send(detail::encode_token_event(run->request(), *token, kind))) {
                return false;
            }
            outcome->tokens += token_count(1);
            *step = run->next();
            return true;
        }
        outcome->caller_gone = false;
        if (const auto* end = std::get_if<generation_end>(step.get())) {
            send(detail::encode_end_event(run->request(), *end, kind));
        } else {
            outcome->refused = std::get<refusal>(*step);
            send(detail::encode_failure_event(run->request(), *outcome->refused));
        }
        sink.done();
        return true;
    };
    const auto release = [this, run, outcome, arrived](bool) {
        outcome->total = hooks.clock() - arrived;
        outcome->attempts = run->attempts();
        if (outcome->tokens > token_count(1)) {
            outcome->between_tokens =
                (outcome->total - outcome->first_answer) / (outcome->tokens.value() - 1);
        }
        report_end(run->request(), *outcome);
        open_requests.remove();
    };
    response.set_chunked_content_provider("text/event-stream", provider, release);
}

} // namespace parsleypitch
