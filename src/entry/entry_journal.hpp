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

/// @brief Functions of other services used by the journal and the status of an entry host, on any thread.
struct entry_journal_hooks {
    /// @brief Returns the hooks of the request path that `recording_hooks` wraps.
    std::function<const request_hooks&()> request_path_hooks;
    std::function<std::shared_ptr<const environment>()> current_environment;
    std::function<std::shared_ptr<const fleet_view>()> view;
    /// @brief Returns the planner's last decision as JSON text; empty if there is none.
    std::function<std::string()> planner_status = [] { return std::string(); };
};

/// @brief Records the requests of one entry host in its journal and traces, and reports its status.
class entry_journal {
  public:
    entry_journal(const entry_settings& settings, incarnation born, entry_journal_hooks hooks);

    /// @brief Returns the service that writes the journal.
    [[nodiscard]] const std::shared_ptr<journal_service>& recorder() const { return m_recorder; }
    /// @brief Returns hooks for the request path that record attempts and forward to the wrapped hooks.
    [[nodiscard]] const request_hooks& recording_hooks() const { return m_recording_hooks; }
    /// @brief Records the end of a request.
    void record_end(const caller_request& request, const request_outcome& outcome);
    /// @brief Answers `Peer.Status` with the trace of the request it names, or else with the state of the
    /// fleet.
    [[nodiscard]] v1::StatusReply status(const v1::StatusRequest& request) const;

  private:
    void set_recording_hooks();
    [[nodiscard]] cell_key cell_of(const caller_request& request) const;
    [[nodiscard]] request_end end_of(const caller_request& request, const request_outcome& outcome) const;

    entry_settings m_settings;
    entry_journal_hooks m_hooks;
    object_store m_store;
    std::shared_ptr<journal_service> m_recorder;
    request_traces m_traces;
    request_hooks m_recording_hooks;
};

} // namespace parsleypitch::detail
