#pragma once

#include <parsleypitch/entry/request_path.hpp>
#include <parsleypitch/environment/environment.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleypitch {

/// @brief State of an entry host as reported by `/healthz`.
struct entry_health {
    /// @brief A configuration has been adopted.
    bool ready = false;
    bool draining = false;
    /// @brief The configuration was confirmed recently enough to be current.
    bool config_proven = false;
    config_version config;
    std::size_t live_backend_servers = 0;
};

/// @brief Result and timing of a caller's request, for metrics and the journal.
struct request_outcome {
    /// @brief The failure sent to the caller; empty if the request did not fail.
    std::optional<refusal> refused;
    /// @brief Time from arrival to the first token, or to the complete answer of a call.
    duration first_answer{};
    /// @brief Time from arrival to the end of the answer.
    duration total{};
    /// @brief Average time between two tokens; 0 for fewer than two tokens.
    duration between_tokens{};
    /// @brief Number of the last attempt of a generation; 0 for a call.
    attempt_number attempts;
    token_count tokens;
    /// @brief The caller disconnected before the end of a streamed answer.
    bool caller_gone = false;
};

/// @brief Functions of other services that the HTTP front end calls, on traffic threads.
struct front_end_hooks {
    clock_hook clock;
    /// @brief Returns the adopted environment, or null before the first adoption.
    std::function<std::shared_ptr<const environment>()> current_environment;
    std::function<entry_health()> health;
    std::function<request_id()> new_request_id;
    /// @brief Admits a request, which must later be passed to `release`, or refuses it before it runs.
    std::function<std::optional<refusal>(const caller_request&)> admit;
    /// @brief Frees the capacity that an admitted request holds.
    std::function<void(const caller_request&)> release;
    /// @brief Runs a call and blocks until its answer; a call that may not be repeated runs under a claim.
    std::function<std::variant<plain_answer, refusal>(const caller_request&)> call;
    /// @brief Hooks for the attempts of generations.
    const request_hooks* generation_hooks = nullptr;
    /// @brief Called once for each request after its answer or failure.
    std::function<void(const caller_request&, const request_outcome&)> on_end;
    /// @brief Returns the text served at `/metrics`.
    std::function<std::string()> metrics;
};

/// @brief HTTP server for callers; kernel service "front_end".
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

    /// @brief Returns whether a planned stop has begun.
    [[nodiscard]] bool draining() const;

  private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace parsleypitch
