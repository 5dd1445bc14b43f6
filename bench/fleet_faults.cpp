#include "fleet.hpp"
#include "http_calls.hpp"

#include <algorithm>
#include <csignal>

namespace parsleypitch::bench {

namespace {

constexpr std::int64_t slow_platform_ms = 200;

} // namespace

result<void> fleet::signal_member(const std::string& name, int number, bool ends) {
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_members.begin(), m_members.end(),
                                    [&](const member& each) { return each.child.name() == name; });
    if (found == m_members.end()) {
        return fail(errc::out_of_range, "fault target " + name + " is no process of this fleet");
    }
    found->end_expected = found->end_expected || ends;
    found->child.signal(number);
    return success();
}

result<void> fleet::drain_member(const std::string& name) {
    // The host list holds the backend server's name, but its agent is the process that drains.
    const std::string prefix = "agent-";
    const std::string host = name.rfind(prefix, 0) == 0 ? name.substr(prefix.size()) : name;
    if (auto posted = post_json(m_plan.platform, "/admin/hosts", {{"host", host}, {"state", "leaving"}});
        !posted) {
        return posted;
    }
    return signal_member(name, SIGTERM, true);
}

result<void> fleet::crash_backend(const std::string& name) {
    const auto found = std::find_if(m_plan.backends.begin(), m_plan.backends.end(),
                                    [&](const backend_plan& each) { return each.id.str() == name; });
    if (found == m_plan.backends.end()) {
        return fail(errc::out_of_range, "fault target " + name + " is no backend server of this fleet");
    }
    // Signal 0 only marks the exit as expected. The process exits before it answers, so errors are ignored.
    if (auto marked = signal_member(name, 0, true); !marked) {
        return marked;
    }
    static_cast<void>(post_json(found->backend, "/admin/faults", {{"crash", true}}));
    return success();
}

result<void> fleet::set_cut(const std::string& zone, bool cut) {
    if (!m_options.relays) {
        return fail(errc::out_of_range, "fault partition needs the option --relays");
    }
    m_proxy->set_cut(availability_zone_id(zone), cut);
    return success();
}

result<void> fleet::inject(const fault_spec& fault) {
    const std::string faults = "/admin/faults";
    switch (fault.kind) {
    case fault_kind::kill:
        return signal_member(fault.target, SIGKILL, true);
    case fault_kind::pause:
        return signal_member(fault.target, SIGSTOP, false);
    case fault_kind::resume:
        return signal_member(fault.target, SIGCONT, false);
    case fault_kind::crash:
        return crash_backend(fault.target);
    case fault_kind::drain:
        return drain_member(fault.target);
    case fault_kind::partition:
        return set_cut(fault.target, true);
    case fault_kind::platform_down:
        return post_json(m_plan.platform, faults, {{"down", true}});
    case fault_kind::platform_slow:
        return post_json(m_plan.platform, faults, {{"slow_ms", slow_platform_ms}});
    case fault_kind::lose_answers:
        return post_json(m_plan.platform, faults, {{"lose_answers", fault.count}});
    }
    return success();
}

result<void> fleet::undo(const fault_spec& fault) {
    const std::string faults = "/admin/faults";
    switch (fault.kind) {
    case fault_kind::pause:
        return signal_member(fault.target, SIGCONT, false);
    case fault_kind::partition:
        return set_cut(fault.target, false);
    case fault_kind::platform_down:
        return post_json(m_plan.platform, faults, {{"down", false}});
    case fault_kind::platform_slow:
        return post_json(m_plan.platform, faults, {{"slow_ms", 0}});
    case fault_kind::lose_answers:
        return post_json(m_plan.platform, faults, {{"lose_answers", 0}});
    default:
        return success();
    }
}

} // namespace parsleypitch::bench
