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

/// @brief Time between two looks for entries of hosts that are gone.
inline constexpr seconds host_list_check_period{300};

/// @brief An entry host as the store lists it.
struct listed_host {
    object_key name;
    object_version revision;
    /// @brief Where it receives reports.
    endpoint reports;
};

/// @brief Finds the entries of hosts that are gone, which would count as hosts for those that start.
class gone_host_finder {
  public:
    /// @param heard hosts whose reports arrived lately
    /// @return entries that nobody was heard of in this look and the one before. Nothing if this host hears
    /// nobody, since it may be cut off itself, or if another host is the one to look.
    [[nodiscard]] std::vector<listed_host> find(const std::vector<listed_host>& listed, const endpoint& own,
                                                const std::vector<endpoint>& heard);

  private:
    std::set<std::pair<object_key, object_version>> m_unheard;
};

/// @brief Enters this host into the store's list of entry hosts and reads the others from it.
///
/// It writes before it reads: of two hosts that start at the same time, at least one finds the other, and its
/// reports make it known. One of the hosts removes the entries of those that are gone. Its state belongs to
/// the control thread.
class serving_peers final : public service, public std::enable_shared_from_this<serving_peers> {
  public:
    /// @param reports where this host receives reports; empty joins no list
    explicit serving_peers(endpoint reports) : m_reports(std::move(reports)) {}

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Begins; called on the control thread once the store is open.
    /// @param slot_of the object of a host
    void open(const object_key& own, std::function<object_handle(const object_key&)> slot_of,
              object_source hosts);

  private:
    void read_own();
    void write_own(object_version expected);
    /// Reads the whole list, then calls `done` with it in `m_listed`.
    void list(const object_key& after, std::function<void()> done);
    void join_listed();
    void check_later();
    void remove_gone(const std::vector<endpoint>& heard);
    void retry(std::function<void()> step, const error& why);

    endpoint m_reports;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    object_handle m_own;
    std::function<object_handle(const object_key&)> m_slot_of;
    object_source m_hosts;
    std::vector<listed_host> m_listed;
    gone_host_finder m_gone;
    bool m_stopped = false;
};

/// @brief Content of the object of an entry host.
[[nodiscard]] std::string encode_host(const endpoint& reports);
/// @return nothing if the content names no endpoint
[[nodiscard]] std::optional<endpoint> decode_host(const std::string& content);

/// @brief Name under which the service is found in the kernel.
[[nodiscard]] service_name serving_peers_name();

} // namespace parsleypitch
