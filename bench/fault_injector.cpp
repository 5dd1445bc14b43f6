#include "fault_injector.hpp"

#include "http_calls.hpp"

#include <algorithm>

namespace parsleypitch::bench {

namespace {

constexpr const char* truth_path = "/admin/truth";

} // namespace

fault_injector::fault_injector(std::vector<fault_spec> faults, std::function<void(const std::string&)> report)
    : m_faults(std::move(faults)), m_report(std::move(report)) {
}

result<void> fault_injector::start(kernel& host) {
    auto found = host.find<fleet>(service_name("fleet"));
    if (!found) {
        return found.error();
    }
    m_fleet = found.value();
    const auto at = [&host, this](duration when, const fault_spec& fault, bool undo) {
        host.post_control_after(when, [&host, this, fault, undo] {
            host.post_worker([this, fault, undo] { run(fault, undo); });
        });
    };
    for (const fault_spec& fault : m_faults) {
        at(fault.at, fault, false);
        if (fault.length > duration::zero()) {
            at(fault.at + fault.length, fault, true);
        }
    }
    return success();
}

void fault_injector::run(const fault_spec& fault, bool undo) {
    if (!undo && (fault.kind == fault_kind::kill || fault.kind == fault_kind::crash)) {
        save_truth(fault.target);
    }
    const auto done = undo ? m_fleet->undo(fault) : m_fleet->inject(fault);
    const std::string what =
        (undo ? "end of " : "") + std::string(to_string(fault.kind)) + " " + fault.target;
    if (!done) {
        const std::lock_guard lock(m_mutex);
        m_failures.push_back(what + ": " + parsleypitch::to_string(done.error()));
    }
    m_report("fault: " + what + (done ? "" : " failed: " + parsleypitch::to_string(done.error())));
}

void fault_injector::save_truth(const std::string& target) {
    for (const backend_plan& backend : m_fleet->plan().backends) {
        if (backend.id.str() == target) {
            auto truth = get_json(backend.backend, truth_path);
            const std::lock_guard lock(m_mutex);
            if (truth) {
                m_saved[target] = std::move(truth.value());
            }
        }
    }
}

execution_records fault_injector::collect_truth() {
    execution_records truth;
    for (const backend_plan& backend : m_fleet->plan().backends) {
        auto answer = get_json(backend.backend, truth_path);
        nlohmann::json record;
        if (answer) {
            record = std::move(answer.value());
        } else {
            // Runs after the saved snapshot are unknown, so the record counts as missing.
            truth.missing.push_back(backend.id.str());
            const std::lock_guard lock(m_mutex);
            const auto saved = m_saved.find(backend.id.str());
            record = saved == m_saved.end() ? nlohmann::json::object() : saved->second;
        }
        backend.is_engine ? add_engine_truth(truth, record) : add_service_truth(truth, record);
    }
    return truth;
}

std::vector<std::string> fault_injector::failures() const {
    const std::lock_guard lock(m_mutex);
    return m_failures;
}

} // namespace parsleypitch::bench
