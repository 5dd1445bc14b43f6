#pragma once

#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleypitch {

/// @brief State of an entry host as `/healthz` tells it.
struct entry_health {
    bool ready = false;
    bool draining = false;
    bool config_proven = false;
    config_version config;
    std::size_t live_backend_servers = 0;
};

/// @brief How a request of a caller ended, for metrics and the journal.
struct request_outcome {
    /// @brief Empty if the caller got the whole answer.
    std::optional<refusal> refused;
    /// @brief From arrival to the first token, or to the whole answer of a call.
    duration first_answer{};
    duration total{};
    /// @brief Greatest average time between two tokens.
    duration between_tokens{};
    attempt_number attempts;
    token_count tokens;
    bool caller_gone = false;
};

/// @brief What the HTTP front end needs from other services; called on traffic threads.
struct front_end_hooks {
    clock_hook clock;
    /// @brief The adopted environment; null if there is none yet.
    std::function<std::shared_ptr<const environment>()> current_environment;
    std::function<entry_health()> health;
    std::function<request_id()> new_request_id;
    /// @brief Admits a request, which ends with `ended`, or refuses it before it runs.
    std::function<std::optional<refusal>(const caller_request&)> admit;
    /// @brief Ends an admitted request.
    std::function<void(const caller_request&)> ended;
    /// @brief Runs a call, with its claim if it may not be repeated.
    std::function<std::variant<plain_answer, refusal>(const caller_request&)> call;
    /// @brief Decisions of the attempts at generations.
    const request_hooks* attempts = nullptr;
    std::function<void(const caller_request&, const request_outcome&)> on_end;
    /// @brief Text for `/metrics`.
    std::function<std::string()> metrics;
};

/// @brief HTTP front end for callers; kernel service "front_end".
class front_end final : public service {
  public:
    front_end(const entry_settings& settings, front_end_hooks hooks);
    ~front_end() override;
    front_end(const front_end&) = delete;
    front_end& operator=(const front_end&) = delete;
    front_end(front_end&&) = delete;
    front_end& operator=(front_end&&) = delete;

    [[nodiscard]] service_name name() const override { return service_name("front_end"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief Whether a planned stop has begun.
    [[nodiscard]] bool draining() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch
