#pragma once

#include "entry/peer_server.hpp"

#include <parsleypitch/entry/front_end.hpp>
#include <parsleypitch/journal/journal_service.hpp>
#include <parsleypitch/journal/request_traces.hpp>
#include <parsleypitch/membership/member.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <functional>
#include <memory>
#include <string>

namespace parsleypitch::detail {

/// @brief What the journal and the status of an entry host read from other services, on any thread.
struct journal_sources {
    /// @brief Hooks of the request path that the journal observes.
    std::function<const request_hooks&()> inner;
    std::function<std::shared_ptr<const environment>()> environment_now;
    std::function<std::shared_ptr<const fleet_view>()> view;
    /// @brief The planner's last plan as JSON text; empty if there is none.
    std::function<std::string()> planner_snapshot = [] { return std::string(); };
};

/// @brief Journal, traces and status of one entry host.
class entry_journal {
  public:
    entry_journal(const entry_settings& settings, incarnation born, journal_sources sources);

    /// @brief The service for the kernel.
    [[nodiscard]] const std::shared_ptr<journal_service>& recorder() const { return m_recorder; }
    /// @brief Hooks of the request path that record attempts and then do what the inner hooks do.
    [[nodiscard]] const request_hooks& observed() const { return m_observed; }
    /// @brief Records how a request ended.
    void ended(const caller_request& request, const request_outcome& outcome);
    /// @brief Answers `Peer.Status`: the fleet, or one request if the call names it.
    [[nodiscard]] v1::StatusReply status(const v1::StatusRequest& request) const;

  private:
    void observe();
    [[nodiscard]] cell_key cell_of(const caller_request& request) const;
    [[nodiscard]] request_end end_of(const caller_request& request, const request_outcome& outcome) const;

    entry_settings m_settings;
    journal_sources m_sources;
    object_store m_store;
    std::shared_ptr<journal_service> m_recorder;
    request_traces m_traces;
    request_hooks m_observed;
};

} // namespace parsleypitch::detail
