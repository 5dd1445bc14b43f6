#pragma once

#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace parsleypitch {

/// @brief Interval of the checks for entries of hosts that no longer exist.
inline constexpr seconds host_list_check_period{300};

/// @brief An entry of the list of entry hosts in the store.
struct listed_host {
    object_key name;
    store_revision revision;
    /// @brief Address at which the host receives load reports.
    endpoint report_address;
};

/// @brief Finds the entries of hosts that no longer exist. Hosts that start would otherwise count them as
/// entry hosts.
class stale_host_finder {
  public:
    /// @param listed entries in the store
    /// @param own report address of this host
    /// @param active report addresses of the hosts that sent reports recently
    /// @return entries whose host was inactive in this check and the previous one. Empty if no host is
    /// active, since this host may be cut off itself, or if an active host has a lower address, since only
    /// the host with the lowest address removes entries.
    [[nodiscard]] std::vector<listed_host> find(const std::vector<listed_host>& listed, const endpoint& own,
                                                const std::vector<endpoint>& active);

  private:
    /// Entries whose host was inactive in the previous check.
    std::set<std::pair<object_key, store_revision>> m_inactive;
};

/// @brief Adds this host to the list of entry hosts in the store and reads the other hosts from it.
///
/// The own entry is written before the list is read, so that of two hosts that start at the same time at
/// least one finds the other and becomes known to it by its reports. The host with the lowest address removes
/// the entries of hosts that no longer exist. The state is accessed only on the control thread.
class serving_peers final : public service, public std::enable_shared_from_this<serving_peers> {
  public:
    /// @param report_address address at which this host receives load reports; if empty, the host is not
    /// listed
    /// @param check_period interval of the checks of the list
    explicit serving_peers(endpoint report_address, duration check_period = host_list_check_period)
        : m_report_address(std::move(report_address)), m_check_period(check_period) {}

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Starts to add this host and to read the list. Called on the control thread once the store is
    /// open.
    /// @param own name of the entry of this host
    /// @param host_entry returns the handle of the entry of a host
    /// @param hosts the list of entry hosts
    void open(const object_key& own, std::function<object_handle(const object_key&)> host_entry,
              object_source hosts);

    /// @brief Adds this host again if the copy from which the store was restored lacks it, and reads the
    /// list anew. Called on the control thread.
    void on_restored();

  private:
    void read_own();
    void write_own(const store_revision& expected);
    /// Reads the complete list into `m_listed`, then calls `done`.
    void read_list(const object_key& after, std::function<void()> done);
    void add_listed_peers();
    void schedule_check();
    /// Whether the list that was read last has this host. Another one may have removed it: a removal that is
    /// late, or that rests on a revision from before a restore, can meet the entry of a host that is back.
    [[nodiscard]] bool is_listed() const;
    void remove_stale(const std::vector<endpoint>& active);
    void retry(std::function<void()> step, const error& why);

    endpoint m_report_address;
    duration m_check_period;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    object_handle m_own_entry;
    std::function<object_handle(const object_key&)> m_host_entry;
    object_source m_hosts;
    std::vector<listed_host> m_listed;
    listed_size m_listed_size;
    stale_host_finder m_stale_host_finder;
    bool m_check_scheduled = false;
    bool m_stopped = false;
};

/// @brief Encodes the content of the entry of an entry host.
[[nodiscard]] std::string encode_host(const endpoint& report_address);
/// @brief Decodes the report address from the entry of an entry host.
/// @return nothing if the content has no report address
[[nodiscard]] std::optional<endpoint> decode_host(const std::string& content);

/// @brief Name of the service in the kernel.
[[nodiscard]] service_name serving_peers_name();

} // namespace parsleypitch
