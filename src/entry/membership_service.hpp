#pragma once

#include "membership/heartbeat_sender.hpp"

#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/membership/listing_schedule.hpp>
#include <parsleypitch/membership/table.hpp>
#include <parsleypitch/settings/settings.hpp>

#include <atomic>
#include <memory>
#include <mutex>

namespace parsleypitch::detail {

/// @brief A configuration version announced by a peer in a heartbeat or in a reply to one.
struct peer_config_offer {
    endpoint peer;
    config_version version;
    /// @brief Age of the peer's proof that its version is current, including the round trip of the heartbeat.
    milliseconds proof_age{0};
    /// @brief The peer announced the version in a reply to this host, not in a heartbeat of its own.
    bool is_reply = false;
};

/// @brief Functions of other services that the membership service calls.
struct membership_hooks {
    /// @brief Fills in the fields of this host's own record that other services know; control thread.
    std::function<void(member& own)> fill_own_record;
    /// @brief Returns the age of the proof that this host's configuration is current, or `no_proof_ms`.
    std::function<std::uint32_t()> config_proof_age_ms;
    /// @brief Called for each configuration version that a peer announces; control thread.
    std::function<void(const peer_config_offer&)> on_config_offer;
    /// @brief Reads the platform's host list on a worker thread.
    host_list_hook host_list;
};

/// @brief Exchanges heartbeats for an entry host and publishes its view of the fleet; kernel service
/// "membership".
class membership_service final : public service {
  public:
    membership_service(const entry_settings& settings, incarnation born, membership_hooks hooks);

    [[nodiscard]] service_name name() const override { return service_name("membership"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief Returns the last published view of the fleet; safe for all threads.
    [[nodiscard]] std::shared_ptr<const fleet_view> view() const { return m_view.load(); }
    /// @brief Answers a heartbeat; safe for all threads.
    [[nodiscard]] v1::HeartbeatReply answer(const v1::HeartbeatRequest& request);
    /// @brief Marks a member suspect after a connection to it failed; safe for all threads.
    void mark_unreachable(const std::string& id);
    /// @brief Returns whether this host relays the state of its zone to other zones; control thread only.
    [[nodiscard]] bool is_zone_relay() const;

  private:
    /// The reply to heartbeats, built in advance, with and without the list of entry hosts.
    struct prepared_reply {
        v1::HeartbeatReply with_hosts;
        v1::HeartbeatReply without_hosts;
        /// Revision of the list of entry hosts in `with_hosts`.
        listing_revision revision;
    };

    void apply_heartbeat(const v1::HeartbeatRequest& request);
    void apply_reply(const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip);
    void send_heartbeats();
    void add_digest(v1::HeartbeatRequest& request, time_point now, bool to_own_zone) const;
    void read_host_list();
    void publish();
    [[nodiscard]] member own_record() const;

    [[nodiscard]] prepared_reply prepare_reply(const member& own, time_point now) const;

    entry_settings m_settings;
    incarnation m_born;
    membership_hooks m_hooks;
    kernel* m_kernel = nullptr;
    membership_table m_table;
    entry_host_directory m_directory;
    std::unique_ptr<heartbeat_sender> m_sender;
    /// Zones of the entry hosts by address.
    std::map<endpoint, availability_zone_id> m_zones;
    std::atomic<std::shared_ptr<const fleet_view>> m_view;
    std::atomic<std::shared_ptr<const prepared_reply>> m_prepared_reply;
    /// Guards `m_listing_schedule`, which is shared by the threads that answer heartbeats.
    std::mutex m_listing_mutex;
    listing_schedule m_listing_schedule;
    bool m_draining = false;
    bool m_reading_list = false;
};

} // namespace parsleypitch::detail
