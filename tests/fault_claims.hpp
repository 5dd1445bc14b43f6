#pragma once

#include "fault_matrix.hpp"
#include "memory_object_store.hpp"

#include <parsleypitch/claims/partition_committer.hpp>

#include <map>
#include <vector>

namespace parsleypitch::fault_matrix {

/// Two entry hosts that may both act as the owner of one partition, with a count of the calls that ran.
class claim_scenario {
  public:
    claim_scenario();

    static host_instance host(unsigned number, std::uint64_t born = 1);
    static claim_key key(unsigned number);

    void set_faults(store_faults faults) { m_store.set_faults(std::move(faults)); }
    void advance_clock(std::chrono::hours time) { m_now += time; }
    /// Replaces an entry host by a new process; the runner of the claims of the old process is no longer
    /// live.
    void restart(unsigned owner);
    /// Removes a runner from the live entry hosts.
    void mark_gone(unsigned runner) { m_live = {host(1 - runner, m_born.at(1 - runner))}; }
    /// Replaces the committer of an owner by one that has loaded nothing, as after a change of the owner.
    void reset_committer(unsigned owner) { m_committers.at(owner) = make_committer(owner); }

    claim_reply claim(unsigned owner, unsigned key_number = 0, const std::string& body = "body");
    /// Commits two claims of one key in one group.
    std::vector<claim_reply> claim_in_one_group(unsigned owner, const std::string& first,
                                                const std::string& second);
    /// Runs the call if it was granted and, if `settled`, records its answer at `owner`.
    void run_if_granted(unsigned owner, const claim_reply& reply, bool settled, unsigned key_number = 0);
    bool settle(unsigned owner, const grant_id& grant, run_state state, unsigned key_number = 0);
    /// Withdraws a grant that was not reported to its runner.
    void withdraw(unsigned owner, const grant_id& grant);

    /// Removes the faults, claims every key again at both owners and returns all violations.
    violations finish();
    [[nodiscard]] violations& seen() { return m_seen; }
    [[nodiscard]] unsigned runs(unsigned key_number = 0) { return m_runs[key_number]; }

  private:
    partition_committer make_committer(unsigned number);
    void check_answer(const claim_reply& reply, unsigned key_number);

    memory_object_store m_store;
    wall_time m_now{std::chrono::hours(1000)};
    std::vector<std::uint64_t> m_born{1, 1};
    /// Incarnation of the last committer, so that the write ids and grant ids of all committers differ.
    std::uint64_t m_committer_count = 0;
    std::vector<host_instance> m_live{host(0), host(1)};
    std::vector<partition_committer> m_committers;
    std::map<unsigned, unsigned> m_runs;
    violations m_seen;
};

} // namespace parsleypitch::fault_matrix
