#pragma once

#include <parsleypitch/directory/object_source.hpp>
#include <parsleypitch/kernel/kernel.hpp>
#include <parsleypitch/logging/event_log.hpp>
#include <parsleypitch/serving/serving_traffic.hpp>

#include <memory>

namespace parsleypitch {

/// @brief Enters this host into the store's list of entry hosts and reads the others from it, once.
///
/// It writes before it reads: of two hosts that start at the same time, at least one finds the other, and its
/// reports make it known. Its state belongs to the control thread.
class serving_peers final : public service, public std::enable_shared_from_this<serving_peers> {
  public:
    /// @param reports where this host receives reports; empty joins no list
    explicit serving_peers(endpoint reports) : m_reports(std::move(reports)) {}

    [[nodiscard]] service_name name() const override;
    [[nodiscard]] result<void> start(kernel& host) override;
    void stop() override;

    /// @brief Begins; called on the control thread once the store is open.
    void open(object_slot own, object_source hosts);

  private:
    void read_own();
    void write_own(object_version expected);
    void list(const object_key& after);
    void retry(std::function<void()> step, const error& why);

    endpoint m_reports;
    kernel* m_kernel = nullptr;
    std::shared_ptr<event_log> m_log;
    std::shared_ptr<serving_traffic> m_traffic;
    object_slot m_own;
    object_source m_hosts;
    std::vector<endpoint> m_listed;
    bool m_stopped = false;
};

/// @brief Content of the object of an entry host.
[[nodiscard]] std::string encode_host(const endpoint& reports);
/// @return nothing if the content names no endpoint
[[nodiscard]] std::optional<endpoint> decode_host(const std::string& content);

/// @brief Name under which the service is found in the kernel.
[[nodiscard]] service_name serving_peers_name();

} // namespace parsleypitch
