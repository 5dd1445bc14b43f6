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

/// @brief A configuration version that a peer names in a heartbeat or in its answer to one.
struct config_offer_from {
    endpoint peer;
    config_version version;
    /// @brief Age of the peer's proof, counted from when this host sent its request.
    milliseconds proof_age{0};
    /// @brief The peer answered a request of this host.
    bool answered = false;
};

/// @brief Hooks through which other services of an entry host take part in heartbeats.
struct membership_hooks {
    /// @brief Fills the fields of this host's own record, on the control thread.
    std::function<void(member& own)> fill_own;
    /// @brief Age of this host's proof of its configuration, or `no_proof_ms`.
    std::function<std::uint32_t()> config_proof_age_ms;
    /// @brief Sees a configuration version that a peer offers, on the control thread.
    std::function<void(const config_offer_from&)> on_config_offer;
    /// @brief Reads the platform's host list on a worker thread.
    host_list_hook host_list;
};

/// @brief Membership of an entry host; kernel service "membership".
class membership_service final : public service {
  public:
    membership_service(const entry_settings& settings, incarnation born, membership_hooks hooks);

    [[nodiscard]] service_name name() const override { return service_name("membership"); }
    [[nodiscard]] result<void> start(kernel& host) override;
    void drain() override;
    void stop() override;

    /// @brief The fleet as last published; safe for all threads.
    [[nodiscard]] std::shared_ptr<const fleet_view> view() const { return m_view.load(); }
    /// @brief Answers a heartbeat; safe for all threads.
    [[nodiscard]] v1::HeartbeatReply answer(const v1::HeartbeatRequest& request);
    /// @brief Tells that a connection to a member failed; safe for all threads.
    void unreachable(const std::string& id);
    /// @brief Whether this host speaks for its zone; control thread only.
    [[nodiscard]] bool is_relay() const;

  private:
    /// The reply to heartbeats, with and without the list of entry hosts.
    struct prepared_reply {
        v1::HeartbeatReply listing;
        v1::HeartbeatReply brief;
        listing_revision revision;
    };

    void take(const v1::HeartbeatRequest& request);
    void take_reply(const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip);
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
    std::map<endpoint, availability_zone_id> m_zones;
    std::atomic<std::shared_ptr<const fleet_view>> m_view;
    std::atomic<std::shared_ptr<const prepared_reply>> m_reply;
    /// Guards the schedule, which the threads that answer heartbeats share.
    std::mutex m_listing_mutex;
    listing_schedule m_listings;
    bool m_leaving = false;
    bool m_reading_list = false;
};

} // namespace parsleypitch::detail
