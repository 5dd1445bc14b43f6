#pragma once

#include <parsleypitch/core/ids.hpp>
#include <parsleypitch/membership/member.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace parsleypitch {

/// @brief Indices into `fleet_view::members`.
using member_indices = std::vector<std::uint32_t>;

/// @brief Backend servers of one model or plain service, by availability zone.
struct candidate_group {
    std::map<availability_zone_id, member_indices> zones;
    member_indices all;
};

/// @brief A fleet view with the candidate groups that routing samples from, built once per snapshot.
///
/// The groups hold indices into the view instead of copies of members. Members that take no new work (not
/// live, or changing their state) are left out.
class fleet_index {
  public:
    explicit fleet_index(std::shared_ptr<const fleet_view> view);

    [[nodiscard]] const fleet_view& view() const noexcept { return *m_view; }
    [[nodiscard]] const member& at(std::uint32_t index) const { return m_view->members[index]; }
    /// @return nothing if no member serves the model
    [[nodiscard]] const candidate_group* engines(const model_id& model) const;
    /// @return nothing if no member runs the plain service
    [[nodiscard]] const candidate_group* plain_services(const plain_service_id& service) const;
    /// @return nothing if no member that takes new work has this id
    [[nodiscard]] const member* find(const backend_server_id& id) const;

  private:
    std::shared_ptr<const fleet_view> m_view;
    std::unordered_map<model_id, candidate_group> m_engines;
    std::unordered_map<plain_service_id, candidate_group> m_plain_services;
    std::unordered_map<std::string_view, std::uint32_t> m_index_by_id; // keys refer to strings of the view
};

} // namespace parsleypitch
