#include "entry/membership_service.hpp"

#include "wire/config_exchange.hpp"
#include "wire/convert.hpp"

#include <parsleypitch/core/hash.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <future>

namespace parsleypitch::detail {

namespace {

constexpr milliseconds sweep_period{200};
// Maximum number of backend servers of each service, model and role in a digest to other zones; enough for
// the random choice between servers.
constexpr std::size_t digest_size_per_group = 8;

std::string group_of(const member& record) {
    return record.plain_service.str() + "/" + record.engine.model.str() + "/" +
           std::string(to_string(record.engine.role));
}

} // namespace

membership_service::membership_service(const entry_settings& settings, incarnation born,
                                       membership_hooks hooks)
    : m_settings(settings), m_born(born), m_hooks(std::move(hooks)),
      m_directory(settings.zone, settings.seeds, std::chrono::steady_clock::now()),
      m_view(std::make_shared<const fleet_view>()),
      m_prepared_reply(std::make_shared<const prepared_reply>()) {
}

result<void> membership_service::start(kernel& host) {
    m_kernel = &host;
    m_sender = std::make_unique<heartbeat_sender>(
        host,
        [this](const endpoint& from, const v1::HeartbeatReply& reply, duration round_trip) {
            apply_reply(from, reply, round_trip);
        },
        [](const endpoint&) {});
    host.post_control_every(sweep_period, [this] { publish(); });
    host.post_control_every(heartbeat_period, [this] {
        const std::lock_guard lock(m_listing_mutex);
        m_listing_schedule.sweep(std::chrono::steady_clock::now());
    });
    host.post_control_every(heartbeat_period, [this] {
        send_heartbeats();
        read_host_list();
    });
    return success();
}

v1::HeartbeatReply membership_service::answer(const v1::HeartbeatRequest& request) {
    m_kernel->post_control([this, request] { apply_heartbeat(request); });
    const std::shared_ptr<const prepared_reply> prepared = m_prepared_reply.load();
    bool host_list_due = false;
    {
        const std::lock_guard lock(m_listing_mutex);
        host_list_due =
            m_listing_schedule.is_due(request.sender().id(), incarnation(request.sender().incarnation()),
                                      prepared->revision, std::chrono::steady_clock::now());
    }
    v1::HeartbeatReply reply = host_list_due ? prepared->with_hosts : prepared->without_hosts;
    reply.set_config_proof_age_ms(m_hooks.config_proof_age_ms());
    return reply;
}

void membership_service::mark_unreachable(const std::string& id) {
    m_kernel->post_control([this, id] {
        m_table.observe_unreachable(id);
        publish();
    });
}

void membership_service::apply_heartbeat(const v1::HeartbeatRequest& request) {
    const time_point now = std::chrono::steady_clock::now();
    member sender = wire::from_wire(request.sender(), now);
    const bool changes_health = sender.health != member_health::live;
    if (sender.kind == member_kind::entry_host) {
        m_directory.add({entry_host_id(sender.id), sender.zone, sender.address}, now);
        // The transit time of the request is unknown, so its version counts without a proof that it is
        // current.
        m_hooks.on_config_offer({sender.address, sender.config, milliseconds(no_proof_ms), false});
    }
    m_table.observe_heartbeat(std::move(sender), now);
    for (const v1::MemberRecord& record : request.digest()) {
        // The record and its load come from the same heartbeat and are equally old.
        m_table.observe_digest(wire::from_wire(record, now), milliseconds(record.load().age_ms()), now);
    }
    if (changes_health) {
        publish();
    }
}

void membership_service::apply_reply(const endpoint& from, const v1::HeartbeatReply& reply,
                                     duration round_trip) {
    const time_point now = std::chrono::steady_clock::now();
    for (const v1::EntryHostAddress& each : reply.entry_hosts()) {
        const endpoint address(each.address());
        m_zones[address] = availability_zone_id(each.zone());
        if (address != m_settings.peers) {
            m_directory.add({entry_host_id(each.id()), availability_zone_id(each.zone()), address}, now);
        }
    }
    m_directory.record_answer(from, now);
    const auto round_trip_ms = std::chrono::ceil<milliseconds>(round_trip);
    m_hooks.on_config_offer({from, config_version(reply.config_version()),
                             milliseconds(reply.config_proof_age_ms()) + round_trip_ms, true});
}

member membership_service::own_record() const {
    member own;
    own.id = m_settings.id.str();
    own.kind = member_kind::entry_host;
    own.zone = m_settings.zone;
    own.address = m_settings.peers;
    own.born = m_born;
    own.health = m_draining ? member_health::leaving : member_health::live;
    m_hooks.fill_own_record(own);
    return own;
}

bool membership_service::is_zone_relay() const {
    const std::vector<member> relays = m_table.relays(m_settings.zone);
    return std::any_of(relays.begin(), relays.end(),
                       [this](const member& each) { return each.id == m_settings.id.str(); });
}

void membership_service::add_digest(v1::HeartbeatRequest& request, time_point now, bool to_own_zone) const {
    std::map<std::string, std::size_t> sizes;
    for (const member& record : m_table.view(now).members) {
        if (record.kind == member_kind::entry_host || record.zone != m_settings.zone) {
            continue;
        }
        // Entry hosts of the own zone get the heartbeats of its backend servers directly, but learn from the
        // digest which of them the host list reports as leaving.
        const bool leaving = record.health == member_health::leaving;
        const bool wanted = to_own_zone ? leaving : leaving || record.health == member_health::live;
        if (wanted && (leaving || ++sizes[group_of(record)] <= digest_size_per_group)) {
            *request.add_digest() = wire::to_wire(record, now);
            request.mutable_digest(request.digest_size() - 1)
                ->mutable_load()
                ->set_age_ms(static_cast<std::uint32_t>(
                    std::chrono::duration_cast<milliseconds>(now - record.last_heartbeat).count()));
        }
    }
}

void membership_service::send_heartbeats() {
    const time_point now = std::chrono::steady_clock::now();
    m_directory.sweep(now);
    const bool relay = is_zone_relay();
    v1::HeartbeatRequest own_zone;
    *own_zone.mutable_sender() = wire::to_wire(own_record(), now);
    own_zone.set_config_proof_age_ms(m_hooks.config_proof_age_ms());
    v1::HeartbeatRequest other_zone = own_zone;
    if (relay) {
        add_digest(own_zone, now, true);
        add_digest(other_zone, now, false);
    }
    for (const endpoint& target : m_directory.targets_of_entry_host(now)) {
        const auto zone = m_zones.find(target);
        const bool is_own_zone = zone != m_zones.end() && zone->second == m_settings.zone;
        m_sender->send(target, is_own_zone ? own_zone : other_zone);
    }
}

void membership_service::read_host_list() {
    // One read a second by every entry host would exceed the platform's rate limit, so only the relays read.
    if (!m_hooks.host_list || m_reading_list || !is_zone_relay()) {
        return;
    }
    m_reading_list = true;
    m_kernel->post_worker([this] {
        auto hosts = m_hooks.host_list();
        m_kernel->post_control([this, hosts = std::move(hosts)] {
            m_reading_list = false;
            if (hosts) {
                m_table.observe_host_list(hosts.value());
                publish();
            }
        });
    });
}

void membership_service::publish() {
    const time_point now = std::chrono::steady_clock::now();
    const member own = own_record();
    m_table.observe_heartbeat(own, now);
    m_table.sweep(now);
    m_view.store(std::make_shared<const fleet_view>(m_table.view(now)));
    m_prepared_reply.store(std::make_shared<const prepared_reply>(prepare_reply(own, now)));
}

membership_service::prepared_reply membership_service::prepare_reply(const member& own,
                                                                     time_point now) const {
    prepared_reply prepared;
    prepared.without_hosts.set_config_version(own.config.value());
    prepared.without_hosts.set_highest_fencing_number(own.highest_fencing.value());
    prepared.with_hosts = prepared.without_hosts;
    std::vector<entry_host_address> hosts = m_directory.responsive_hosts(now);
    hosts.push_back({m_settings.id, m_settings.zone, m_settings.peers});
    std::string content;
    for (const entry_host_address& host : hosts) {
        v1::EntryHostAddress& entry = *prepared.with_hosts.add_entry_hosts();
        entry.set_id(host.id.str());
        entry.set_zone(host.zone.str());
        entry.set_address(host.address.str());
        content += host.id.str() + ' ' + host.zone.str() + ' ' + host.address.str() + '\n';
    }
    prepared.revision = listing_revision(hash_bytes(content));
    return prepared;
}

void membership_service::drain() {
    std::promise<void> sent;
    m_kernel->post_control([this, &sent] {
        m_draining = true;
        send_heartbeats();
        sent.set_value();
    });
    sent.get_future().wait();
}

void membership_service::stop() {
    m_sender->stop();
}

} // namespace parsleypitch::detail
