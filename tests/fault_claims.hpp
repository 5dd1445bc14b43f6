#pragma once

#include "fault_matrix.hpp"
#include "memory_object_store.hpp"

#include <parsleypitch/claims/partition_committer.hpp>

#include <map>
#include <vector>

namespace parsleypitch::fault_matrix {

/// Two entry hosts that may both believe that they own one partition, and a ledger of what really ran.
class claim_scenario {
  public:
    claim_scenario();

    static host_instance host(unsigned number, std::uint64_t born = 1);
    static claim_key key(unsigned number);

    void set_faults(store_faults faults) { m_store.set_faults(std::move(faults)); }
    void advance_clock(std::chrono::hours time) { m_now += time; }
    /// Replaces an entry host by a later process; the claims of the old one have no runner.
    void restart(unsigned owner);
    /// The fleet takes the runner for gone.
    void mark_gone(unsigned runner) { m_live = {host(1 - runner, m_born.at(1 - runner))}; }
    /// A process that has read nothing yet, as an owner after a move of the partition.
    void reset_committer(unsigned owner) { m_committers.at(owner) = make_committer(owner); }

    claim_reply claim(unsigned owner, unsigned key_number = 0, const std::string& body = "body");
    /// Two claims of one key in one group.
    std::vector<claim_reply> claim_in_one_group(unsigned owner, const std::string& first,
                                                const std::string& second);
    /// Runs the call under a grant and, if `settled`, records its answer at `owner`.
    void run_if_granted(unsigned owner, const claim_reply& reply, bool settled, unsigned key_number = 0);
    bool settle(unsigned owner, const grant_id& grant, run_state state, unsigned key_number = 0);
    /// The owner notes that the runner never learned of the grant.
    void withdraw(unsigned owner, const grant_id& grant);

    /// Lifts the faults, claims every key again at both owners, and returns the violations.
    violations finish();
    [[nodiscard]] violations& seen() { return m_seen; }
    [[nodiscard]] unsigned runs(unsigned key_number = 0) { return m_runs[key_number]; }

  private:
    partition_committer make_committer(unsigned number);
    void check_answer(const claim_reply& reply, unsigned key_number);

    memory_object_store m_store;
    wall_time m_now{std::chrono::hours(1000)};
    std::vector<std::uint64_t> m_born{1, 1};
    /// Distinguishes the ids of all committers, as the incarnation does in a fleet.
    std::uint64_t m_committer_count = 0;
    std::vector<host_instance> m_live{host(0), host(1)};
    std::vector<partition_committer> m_committers;
    std::map<unsigned, unsigned> m_runs;
    violations m_seen;
};

} // namespace parsleypitch::fault_matrix
